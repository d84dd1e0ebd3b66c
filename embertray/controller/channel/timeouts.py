"""How long peers may take before they count as failed."""

NS_PER_SECOND = 10**9

# A health check: a backend that accepts no connection for this long is as good as down, ns.
PROBE_TIMEOUT_NS = NS_PER_SECOND // 2
# A proxy that reads but answers no nonce for this long is cut, ns: each further nonce would be kept for it.
NONCE_TIMEOUT_NS = 60 * NS_PER_SECOND
