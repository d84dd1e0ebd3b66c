"""Metrics of control replicas and subscribers, in Prometheus' text format."""

import msgspec


def replica_metrics(status):
    """Returns the metric lines of a ReplicaStatus."""
    gauges = {
        "leads": int(status.has_majority),
        "term": status.term,
        "revision": status.revision,
        "age_seconds": "NaN" if status.age_s is None else status.age_s,
        "keys": status.keys,
        "state_bytes": status.state_bytes,
        "subscribers": status.subscribers,
        "lowest_confirmed": status.lowest_confirmed,
        "writes_waiting": status.writes_waiting,
        "peers_connected": status.peers_connected,
    }
    counters = {
        "saves": status.saves,
        "steps": status.steps,
        "update_retries": status.update_retries,
        "silent_subscribers": status.silent_subscribers,
        **msgspec.structs.asdict(status.traffic),
    }
    return metric_lines(gauges, counters)


def subscriber_metrics(status):
    """Returns the metric lines of a SubscriberStatus."""
    gauges = {
        "connected": int(status.connected),
        "revision": status.revision,
        "age_seconds": "NaN" if status.age_s is None else status.age_s,
        "keys": status.keys,
    }
    return metric_lines(gauges, {**status.counters, **msgspec.structs.asdict(status.traffic)})


def metric_lines(gauges, counters):
    """Returns one TYPE line and one value line for each metric.

    Args:
        gauges: name -> value; names get the prefix embertray_control_.
        counters: name -> value; names also get the suffix _total.
    """
    rows = []
    for kind, suffix, metrics in (("gauge", "", gauges), ("counter", "_total", counters)):
        for name, value in metrics.items():
            rows.append(f"# TYPE embertray_control_{name}{suffix} {kind}")
            rows.append(f"embertray_control_{name}{suffix} {value}")
    return rows
