"""Outlier detection: backends that fail far more than their peers are ejected, and recover step by step.

Ejected means that its weight is cut, never to 0.

Ejection rule: a backend whose share of failed attempts in the short window is more than 0.35 above the lower
quartile of all backends with 8 or more attempts, itself included, is an outlier. Its weight is cut to the
part that it answers, but not under 6%, so that it is still heard of. At most 0.6 of the ready backends are
ejected at a time. A general fault moves the quartile and ejects nobody. Harms where few peers are heard.

Recovery rule: at each solve an ejected backend's weight doubles, once it had at least 2 attempts since the
last change of its weight and at most a quarter of them failed, or none for 12 s. A restart heals at once.

Inputs: `BackendStats`. Decides: `BackendState.health`, a factor on the weight; 1 is healthy.

Guards against backends that fail fast, hang or die unseen by the endpoint list: they would take their share
of requests, or more, and fail them.
"""

from .interface import Log
from .units import SECOND

FAILED_SHARE_ABOVE_PEERS = 0.35  # above the peers' lower quartile
ATTEMPTS_MIN = 8  # reported in the short window, so that chance ejects nobody
EJECTED_SHARE_MAX = 0.6  # of the ready backends: a zone may be lost, but never nearly all
HEALTH_MIN = 0.06  # of its weight, to hear whether it is well again
RECOVERY_FACTOR = 2.0  # on health at each solve
RECOVERY_ATTEMPTS_MIN = 2
RECOVERY_FAILED_SHARE_MAX = 1 / 4
SILENT_RECOVERY_AFTER = 12 * SECOND  # ns without any report


class OutlierDetection:
    """Ejects outliers at every beat and lets them recover at every solve.

    Args:
        context: `Context` of the controller.
    """

    def __init__(self, context):
        self.context = context

    def recover(self, stats):
        """Raises the weight of ejected backends that do well, or of which nothing is heard.

        Args:
            stats: `BackendStats` of all ready backends.
        """
        now = self.context.now
        for row in stats:
            backend = row.backend
            is_answering = (
                row.long_window.attempts >= RECOVERY_ATTEMPTS_MIN
                and row.long_window.failed <= row.long_window.attempts * RECOVERY_FAILED_SHARE_MAX
            )
            is_silent = not row.long_window.attempts and now - backend.health_since > SILENT_RECOVERY_AFTER
            has_new_reports = now > backend.reports_ignored_until + self.context.observed_report_interval
            if (is_answering or is_silent) and backend.health < 1 and has_new_reports:
                backend.set_health(min(1.0, backend.health * RECOVERY_FACTOR))

    def eject(self, stats):
        """Cuts the weight of outliers, the worst first.

        Args:
            stats: `BackendStats` of all ready backends.
        """
        rows = [
            row
            for row in stats
            if row.short_window.attempts >= ATTEMPTS_MIN and row.backend.health > HEALTH_MIN
        ]
        failed = {row.backend: row.short_window.failed / row.short_window.attempts for row in rows}
        quartile = sorted(failed.values())[len(failed) // 4] if failed else 0
        ejections_left = int(EJECTED_SHARE_MAX * len(stats)) - sum(row.backend.health < 1 for row in stats)
        outliers = [one for one, share in failed.items() if share > FAILED_SHARE_ABOVE_PEERS + quartile]
        for backend in sorted(outliers, key=lambda backend: -failed[backend]):
            if backend.health < 1 or ejections_left > 0:
                ejections_left -= backend.health >= 1
                backend.set_health(max(HEALTH_MIN, backend.health * (1 - failed[backend])))
                self.context.orders.append(
                    Log(
                        f"backend {backend.handle.external_id} ejected as an outlier: "
                        f"{failed[backend]:.0%} of its attempts failed, "
                        f"{quartile:.0%} at the lower quartile of its peers; "
                        f"{backend.health:.0%} of its weight is left"
                    )
                )
