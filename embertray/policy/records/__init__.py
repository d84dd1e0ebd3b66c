"""What the decisions remember: samples of reports, messages that are not answered, tables as sent.

Nothing is decided or tuned here: how much is kept, windows, floors and what a failed try counts as are handed
in. Times are whole nanoseconds.
"""
