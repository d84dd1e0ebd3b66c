"""Decides which proxies keep an earlier controller's tables while only a list from disk is available.

Those tables are newer than an old list, so the proxies are not bound to tables that are made from it. Proxies
with only their standing table are bound at once. The retention ends for all proxies when discovery answers,
when enough candidates are proven, or after a time; for a single proxy it ends when no backend of its table
answers.
"""

from .known_backend import REFUTED_FAILURES

TABLE_RETENTION_NS = 20 * 10**9  # after this, missed drains cost more than the newer tables gain
# The same if the proxies' tables contain answering backends that are not on the list.
TABLE_RETENTION_UNLISTED_NS = 300 * 10**9
PROVEN_SHARE = 0.5  # of the candidates; once they are proven, the list is good enough for all proxies
FAILING_SHARE = 0.9  # of a proxy's attempts; if more fail, its table is no better than the list
DRAIN_GRACE_DIVISOR = 2  # at most half the grace if the list has a drain, which the proxies have to learn of


class TableRetention:
    """Decides how long proxies keep their tables.

    Attributes:
        candidate_count: Number of candidates on the list at the start; 0: no table is retained.
        retention_period: How long tables are retained, ns.
        unlisted_answering: Whether proxies report answering backends that are not on the list.
        failing_proxies: Names of proxies whose tables have next to no answering backend.
    """

    def __init__(self):
        self.candidate_count = 0
        self.retention_period = TABLE_RETENTION_NS
        self.unlisted_answering = False
        self.failing_proxies = set()

    def limit_by_drain(self, drain_grace):
        """Shortens the retention because the list contains a draining backend; `drain_grace` is in ns."""
        self.retention_period = min(TABLE_RETENTION_NS, drain_grace // DRAIN_GRACE_DIVISOR)

    def observe_proxy(self, proxy, attempts, failed, requests):
        """Adds a proxy to `failing_proxies` if its load report shows that its table is useless.

        That is, nearly all of its attempts failed, or requests arrived and it finished no attempt.

        Args:
            proxy: The proxy's name.
            attempts: Finished attempts at all backends.
            failed: Failed attempts among them.
            requests: Requests that arrived at the proxy.
        """
        nearly_all_failed = attempts >= REFUTED_FAILURES and failed > FAILING_SHARE * attempts
        nowhere_to_send = requests and not attempts
        if nearly_all_failed or nowhere_to_send:
            self.failing_proxies.add(proxy)

    def proxy_left(self, proxy):
        """Forgets a proxy (by name)."""
        self.failing_proxies.discard(proxy)

    def has_ended(self, elapsed, proven_count):
        """Returns whether the retention has ended for all proxies, while discovery has not answered.

        Args:
            elapsed: Time since the start, ns.
            proven_count: Number of proven candidates.
        """
        if not self.candidate_count:
            return True
        if self.unlisted_answering:
            return elapsed >= self._unlisted_retention_period()
        return elapsed >= self.retention_period or proven_count >= PROVEN_SHARE * self.candidate_count

    def _unlisted_retention_period(self):
        if self.retention_period == TABLE_RETENTION_NS:
            return TABLE_RETENTION_UNLISTED_NS
        return self.retention_period  # limited by a drain, which applies here too
