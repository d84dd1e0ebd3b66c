"""The daemon's metrics in Prometheus' text format.

Operators' dashboards use the names, so these must not change.
"""

GAUGE = "gauge"
COUNTER = "counter"
MEMBER_STATES = ("alive", "suspect", "dead", "left")
CLUSTER_GAUGES = ("bound_s", "cut_off", "health", "state_bytes", "left_out")
CLUSTER_COUNTERS = (
    "sent",
    "received",
    "bytes_sent",
    "unreadable",
    "exchanges",
    "exchanges_failed",
    "state_held_back",
)
MEMORY_GAUGES = ("bytes", "entries", "peak", "cap")
PROCESS_GAUGES = ("resident", "at_start", "unaccounted")
NOT_KNOWN = "NaN"


class MetricsText:
    """Lines of Prometheus' text format.

    Attributes:
        lines: The lines so far.
    """

    def __init__(self):
        self.lines = []
        self._declared = set()  # names whose TYPE line has been added

    def gauge(self, name, value, **labels):
        """Adds a gauge `embertray_NAME`."""
        self._add(name, GAUGE, value, labels)

    def counter(self, name, value, **labels):
        """Adds a counter `embertray_NAME`; its name ends with _total."""
        self._add(name, COUNTER, value, labels)

    def _add(self, name, kind, value, labels):
        if name not in self._declared:
            self._declared.add(name)
            self.lines.append(f"# TYPE embertray_{name} {kind}")
        pairs = ",".join(f'{label}="{text}"' for label, text in labels.items())
        suffix = f"{{{pairs}}}" if pairs else ""
        self.lines.append(f"embertray_{name}{suffix} {value}")


def service_metrics(service):
    """Returns the lines of a Service's metrics, in the order of the page."""
    metrics = MetricsText()
    _add_core(metrics, service)
    _add_memory(metrics, service.memory())
    _add_degradation(metrics, service.core.ladder)
    _add_counters(metrics, service)
    if service.cluster is not None:
        _add_cluster(metrics, service.cluster.status())
    return metrics.lines


def _add_core(metrics, service):
    core = service.core
    metrics.gauge("proxies", len(service.streams))
    metrics.gauge("backends_listed", len(core.state))
    metrics.gauge("channel_lines_waiting", core.pacer.lines_waiting)
    metrics.gauge("channel_lines_peak", core.pacer.lines_peak)
    metrics.gauge("channel_pace", core.pacer.pace)
    metrics.counter("steps_total", core.steps)
    metrics.counter("events_total", core.events)
    metrics.gauge("report_lines_waiting", len(core.intake.waiting))
    metrics.counter("report_lines_total", core.intake.released)
    metrics.counter("report_lines_merged_total", core.intake.merged)


def _add_memory(metrics, page):
    for account in page["purposes"]:
        purpose = account["purpose"]
        for key in MEMORY_GAUGES:
            metrics.gauge(f"memory_{key}", account[key], purpose=purpose)
        metrics.counter("memory_cap_acts_total", account["acts"], purpose=purpose)
        metrics.counter("memory_cap_done_total", account["done"], purpose=purpose)
    for key in PROCESS_GAUGES:
        metrics.gauge(f"memory_{key}_bytes", page[key])


def _add_degradation(metrics, ladder):
    metrics.gauge("service_level", ladder.level)
    metrics.counter("service_level_changes_total", ladder.changes)
    metrics.gauge(
        "lost_credit_share", NOT_KNOWN if ladder.lost_share is None else round(ladder.lost_share, 4)
    )


def _add_counters(metrics, service):
    metrics.counter("report_lines_unknown_total", service.core.intake.unknown)
    metrics.counter("report_lines_dropped_total", service.core.intake.dropped)
    for name, count in service.counters.by_name().items():
        metrics.counter(f"{name}_total", count)
    for code, count in sorted(service.faults.items()):
        metrics.counter("faults_total", count, code=code)


def _add_cluster(metrics, status):
    for state in MEMBER_STATES:
        count = sum(member["state"] == state for member in status["members"])
        metrics.gauge("cluster_members", count, state=state)
    for member in status["members"]:
        if member["told_s"] is not None:
            metrics.gauge("cluster_told_age_seconds", member["told_s"], member=member["name"])
    for key in CLUSTER_GAUGES:
        metrics.gauge(f"cluster_{key}", float(status[key]))
    for key in CLUSTER_COUNTERS:
        metrics.counter(f"cluster_{key}_total", status[key])
