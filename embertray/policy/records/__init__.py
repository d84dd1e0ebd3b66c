"""Records of the policy: samples of reports, unacknowledged messages, and tables as last sent.

Records make no decisions and have no tuning constants: how much is kept, windows, minimums and the latency
that a failed attempt counts as are passed in. Times are whole nanoseconds.
"""
