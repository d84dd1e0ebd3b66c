"""Units of time: all times in the policy are whole nanoseconds."""

MILLISECOND = 10**6  # ns
SECOND = 10**9  # ns
