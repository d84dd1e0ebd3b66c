"""Default caps: what each purpose may take, from the fleet's size as the site names it.

The sizes below are what one item takes in this program, measured and rounded up (docs/design/memory.md).
"""

KIB = 1024  # bytes
MIB = 1024 * KIB  # bytes

FLEET_HEADROOM = 4  # times the named fleet: twice its size meets no cap, and twice that is for bursts
FLEET_MIN = 16  # proxies and backends that caps are reckoned for at least
CAP_BYTES_MIN = 1 * MIB  # a small fleet's caps are not worth acting on below
PROXY_BYTES = 24 * KIB  # a stream with its transport, queues and session; 22 KiB were measured
NAME_BYTES = 6 * KIB  # a proxy or backend as the policy keeps it, without samples
SAMPLE_BYTES = 300  # a load report as the policy keeps it
SAMPLES_KEPT = 64  # load reports that the policy keeps of each proxy and backend
TABLE_LINE_BYTES = 400  # a table line: as ordered, as wanted and as reported
WAITING_LINE_BYTES = 200  # a line that waits in the channel, with its share of the message
LIST_ENTRY_BYTES = 1 * KIB  # an entry of the endpoint list, with its start time and its identifier
MEMBER_BYTES = 4 * KIB  # a cluster member: its statement, digests, probes and rejections counted by address
PROBES_IN_FLIGHT_MAX = 256  # health checks


def default_caps(site):
    """Returns the caps for the fleet that a Site names: purpose -> bytes."""
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
        sizes["cluster"] = _cluster_bytes(site) // FLEET_HEADROOM  # its own bound is exact: no headroom on it
    return {purpose: max(CAP_BYTES_MIN, FLEET_HEADROOM * size) for purpose, size in sizes.items()}


def _cluster_bytes(site):
    """Twice the state: the cluster's cap counts the bytes on the wire, this one what keeps them, too."""
    return 2 * site.cluster.state + len(site.controllers) * MEMBER_BYTES
