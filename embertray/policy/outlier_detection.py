"""Outlier detection: ejects backends that fail far more often than their peers, and readmits them gradually.

Ejection reduces the weight of a backend, but never to 0.

Ejection rule: a backend is an outlier if its share of failed attempts in the short window exceeds the lower
quartile of all backends with 8 or more attempts, itself included, by more than 0.35. Its weight is reduced to
the share of attempts that it answers, but not below 6%, so that it is still reported. At most 0.6 of the
ready backends are ejected at a time. A general fault shifts the quartile and ejects no backend. The rule does
harm where few peers are reported.

Recovery rule: in each learning round the weight of an ejected backend doubles, if since the last change of
its weight it had at least 2 attempts of which at most a quarter failed, or no attempts for 12 s. A restarted
backend recovers at once.

Inputs: `BackendStats`. Output: `BackendState.health`, a factor on the weight; 1 is healthy.

Prevents backends that fail fast, hang, or die unnoticed by the endpoint list from getting their share of
requests, or more, and failing them.
"""

from .interface import Log
from .units import SECOND

FAILED_SHARE_ABOVE_PEERS = 0.35  # above the peers' lower quartile
ATTEMPTS_MIN = 8  # in the short window; with fewer, chance could eject a backend
EJECTED_SHARE_MAX = 0.6  # of the ready backends: covers the loss of a zone, but never ejects nearly all
HEALTH_MIN = 0.06  # of its weight; enough requests to detect recovery
RECOVERY_FACTOR = 2.0  # factor on health per learning round
RECOVERY_ATTEMPTS_MIN = 2
RECOVERY_FAILED_SHARE_MAX = 1 / 4
SILENT_RECOVERY_AFTER = 12 * SECOND  # ns without any report


class OutlierDetection:
    """Ejects outliers in every control cycle and readmits them in learning rounds.

    Args:
        context: `Context` of the controller.
    """

    def __init__(self, context):
        self.context = context

    def recover(self, stats):
        """Raises the health of ejected backends that answer again, or that had no attempts.

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
        """Reduces the health of outliers, the worst first.

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
        outliers = [
            backend for backend, share in failed.items() if share > FAILED_SHARE_ABOVE_PEERS + quartile
        ]
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
