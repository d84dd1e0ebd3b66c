"""The operators' pages of a controller's state: functions (Service, query: name -> values) -> Response.

Operators' tools parse the JSON keys and texts, so these must not change.
"""

from .metrics import service_metrics
from .server import json_response, text

NO_CLUSTER = "no cluster: the site has no <cluster>\n"
NO_CONTROL = "no control plane: the site has no <control>\n"
BAD_REQUEST = 400
NOT_FOUND = 404
UNAVAILABLE = 503


def live_page(_service, _query):
    """Liveness: 200 as long as the process answers."""
    return text("live\n")


def ready_page(service, _query):
    """Readiness: 200 if the controller knows backends and is not shutting down."""
    if service.admission.draining is not None:
        return text("draining\n", UNAVAILABLE)
    reason = service.trust.describe(service.clock.now())
    if service.trust.backends:
        return text(f"ready: {reason}\n")
    return text(f"{reason}\n", UNAVAILABLE)


def start_page(service, _query):
    """State of the endpoint list and of the trust in it since the start."""
    trust = service.trust
    now = service.clock.now()
    return json_response(
        {
            "why": trust.describe(now),
            "settled": trust.is_settled(now),
            "epoch": trust.epoch,
            "known": len(trust.backends),
            "refuted": sorted(name for name, backend in trust.backends.items() if backend.refuted),
            "missing": list(trust.losses.missing),
            "left_with_their_tables": sorted(service.frontend.deferred_joins),
            "saves": service.counters.saves,
            "save_fails": service.counters.save_fails,
        }
    )


def metrics_page(service, _query):
    """All metrics, in Prometheus' text format."""
    lines = service_metrics(service)
    if service.control is not None:
        # imported here, so that a site without a control plane does not load it
        from .control_metrics import subscriber_metrics

        lines += subscriber_metrics(service.control.status())
    return text("\n".join(lines) + "\n")


def memory_page(service, _query):
    """The memory accounts."""
    return json_response(service.memory())


def tables_page(service, _query):
    """The routing tables as last ordered by the policy; updates may still wait in the channel."""
    tables = service.core.outbox.tables
    return json_response([_table(table, ordered) for table, ordered in tables.items()])


def _table(table, ordered):
    return {
        "table": table.external_id,
        "proxies": [proxy.external_id for proxy in ordered.proxies],
        "lines": {backend.external_id: weight for backend, weight in ordered.lines.items()},
        "levels": {
            kind.external_id: {"level": level, "again": retries}
            for kind, (level, retries) in ordered.levels.items()
        },
    }


def channel_page(service, _query):
    """Queue length and rate of the channel."""
    pacer = service.core.pacer
    return json_response(
        {
            "lines_waiting": pacer.lines_waiting,
            "peak": pacer.lines_peak,
            "limit": service.site.pending_max,
            "messages_waiting": len(pacer.queue),
            "left": pacer.released,
            "pace": pacer.pace,
            "rate": pacer.rate,
        }
    )


def proxies_page(service, _query):
    """The joined proxies."""
    return json_response(
        [
            {
                "proxy": stream.name,
                "zone": stream.hello.zone,
                "open_marks": len(stream.session.open_nonces),
                "untaken_bytes": stream.send_buffer.bytes,
            }
            for stream in service.streams.values()
        ]
    )


def level_page(service, _query):
    """The degradation level in force."""
    return json_response(service.core.ladder.status(service.clock.now()))


def cluster_page(service, _query):
    """The cluster as this member sees it."""
    if service.cluster is None:
        return text(NO_CLUSTER, NOT_FOUND)
    return json_response(service.cluster.status())


def control_page(service, _query):
    """Status of this controller's subscriber of the control plane."""
    if service.control is None:
        return text(NO_CONTROL, NOT_FOUND)
    return json_response(service.control.status())


def control_key_page(service, query):
    """This controller's value of a key of the control plane."""
    if service.control is None:
        return text(NO_CONTROL, NOT_FOUND)
    key = query.get("key", [""])[0]
    if not key:
        return text("key: the name of a key is wanted\n", BAD_REQUEST)
    from .control import value_page

    return value_page(key, service.control.get, service.control.status().age_s)
