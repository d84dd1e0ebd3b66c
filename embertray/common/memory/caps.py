"""Default memory caps per purpose, derived from the size of the fleet in the site description.

The sizes below are the bytes per item, rounded up (docs/design/memory.md).
"""

KIB = 1024  # bytes
MIB = 1024 * KIB  # bytes

FLEET_HEADROOM = 4  # twice the described fleet must not reach a cap; a further factor of two is for bursts
FLEET_MIN = 16  # minimum number of proxies and backends that caps are calculated for
CAP_BYTES_MIN = 1 * MIB  # below this size, acting on a cap is not worthwhile
PROXY_BYTES = 24 * KIB  # a stream with its transport, queues and session: 22 KiB, rounded up
NAME_BYTES = 6 * KIB  # a proxy or backend in the policy, without its samples
SAMPLE_BYTES = 300  # a load report in the policy
SAMPLES_KEPT = 64  # load reports that the policy keeps per proxy and backend
TABLE_LINE_BYTES = 400  # a table line, in its ordered, planned and reported form
WAITING_LINE_BYTES = 200  # a line waiting in the channel, with its share of the message
LIST_ENTRY_BYTES = 1 * KIB  # an entry of the endpoint list, with its start time and its identifier
MEMBER_BYTES = 4 * KIB  # a cluster member: its statement, digests, probes and rejections counted by address
PROBES_IN_FLIGHT_MAX = 256  # health checks


def default_caps(site):
    """Returns the caps for the fleet of a Site: purpose -> bytes."""
    proxies = max(FLEET_MIN, site.proxies)
    backends = max(FLEET_MIN, site.backends)
    zones = len(site.zones)
    kinds = len(site.kinds)
    sample_sets = backends * (1 + zones) + proxies * kinds
    sizes = {
        "tables": zones * backends * TABLE_LINE_BYTES + proxies * KIB,
        "list": backends * LIST_ENTRY_BYTES,
        "reports": sample_sets * SAMPLES_KEPT * SAMPLE_BYTES,
        "channel": int(site.pending_max * WAITING_LINE_BYTES) + proxies * KIB,
        "streams": proxies * PROXY_BYTES,
        "names": (proxies + backends) * NAME_BYTES,
        "probes": PROBES_IN_FLIGHT_MAX * KIB,
    }
    if site.cluster:
        # the cluster's own limit is exact: the division cancels the headroom added below
        sizes["cluster"] = _cluster_bytes(site) // FLEET_HEADROOM
    return {purpose: max(CAP_BYTES_MIN, FLEET_HEADROOM * size) for purpose, size in sizes.items()}


def _cluster_bytes(site):
    """Twice the state: the cluster limits bytes on the wire, this cap includes the objects in memory."""
    return 2 * site.cluster.state + len(site.controllers) * MEMBER_BYTES
