"""Which proxies keep the tables of a former controller while only a list from disk is there.

Those tables are newer than an old list, so the proxies are not bound to tables made from it. Proxies that
hold only their standing table are bound at once. It ends for all when discovery answers, when most candidates
are proven, or after a time; for one proxy when nothing that it holds answers.
"""

from .known_backend import REFUTED_FAILURES

TABLE_RETENTION_NS = 20 * 10**9  # then drains that were missed meanwhile weigh more than the newer tables
# The same where the tables know backends that answer and are not on the list, ns.
TABLE_RETENTION_UNLISTED_NS = 300 * 10**9
PROVEN_SHARE = 0.5  # of the candidates: the list is then good enough for all
FAILING_SHARE = 0.9  # of a proxy's attempts: if more fail, its table is no better than the list
DRAIN_GRACE_DIVISOR = 2  # half the grace at most, if the list knows of a drain: proxies have to learn of it


class TableRetention:
    """Decides how long proxies keep their tables.

    Attributes:
        candidate_count: Backends on the list that were to be proven at the start; 0: nothing is retained.
        retention_period: How long tables are retained, ns.
        unlisted_answering: Proxies report backends that answer and are not on the list.
        failing_proxies: Names of proxies that hold tables in which nothing answers.
    """

    def __init__(self):
        self.candidate_count = 0
        self.retention_period = TABLE_RETENTION_NS
        self.unlisted_answering = False
        self.failing_proxies = set()

    def limit_by_drain(self, drain_grace):
        """Shortens the retention: the list knows of a drain. `drain_grace` is in ns."""
        self.retention_period = min(TABLE_RETENTION_NS, drain_grace // DRAIN_GRACE_DIVISOR)

    def observe_proxy(self, proxy, attempts, failed, requests):
        """Judges one load report of a proxy that holds tables of a former controller.

        Args:
            proxy: Its name.
            attempts: Attempts at all backends.
            failed: How many of them failed.
            requests: Requests that came to it.
        """
        nearly_all_failed = attempts >= REFUTED_FAILURES and failed > FAILING_SHARE * attempts
        nowhere_to_send = requests and not attempts
        if nearly_all_failed or nowhere_to_send:
            self.failing_proxies.add(proxy)

    def proxy_left(self, proxy):
        """Forgets a proxy (by name)."""
        self.failing_proxies.discard(proxy)

    def is_over(self, elapsed, proven_count):
        """Whether no proxy keeps its tables any more, though discovery has not answered.

        Args:
            elapsed: Time since the start, ns.
            proven_count: Candidates that are proven.
        """
        if not self.candidate_count:
            return True
        if self.unlisted_answering:
            return elapsed >= self._unlisted_retention_period()
        return elapsed >= self.retention_period or proven_count >= PROVEN_SHARE * self.candidate_count

    def _unlisted_retention_period(self):
        if self.retention_period == TABLE_RETENTION_NS:
            return TABLE_RETENTION_UNLISTED_NS
        return self.retention_period  # a drain is known: it limits this, too
