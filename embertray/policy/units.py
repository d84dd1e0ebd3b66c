"""Units of time: all times of the decisions are whole nanoseconds."""

MILLISECOND = 10**6  # ns
SECOND = 10**9  # ns
