"""The platform's protocol without I/O: bytes and time in, typed events or verdicts out, in the manner of
h11.
"""
