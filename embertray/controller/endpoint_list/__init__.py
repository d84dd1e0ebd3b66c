"""The list of backends: its messages, the client that follows it, and the last list that outlives a
process.
"""
