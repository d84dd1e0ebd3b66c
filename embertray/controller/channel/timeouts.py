"""Timeouts after which a peer counts as failed."""

NS_PER_SECOND = 10**9

# A backend that accepts no connection within this time fails its health check.
PROBE_TIMEOUT_NS = NS_PER_SECOND // 2
# A proxy that reads but acknowledges no nonce within this time is cut: the list of its nonces would grow.
NONCE_TIMEOUT_NS = 60 * NS_PER_SECOND
