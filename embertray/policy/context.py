"""State shared by all rules of one controller: deployment, time of the step, known backends and proxies."""

from collections import deque
from statistics import median
from zlib import crc32

from .records.levels import AdmissionLevel
from .units import SECOND

REPORTS_KEPT = 64  # per backend and proxy: covers the long window with reports of several zones
UNLIMITED_RATE = 10**6  # requests a second at a proxy; stands for no limit
RETRY_AFTER_PROOF = 1  # retry mode: only after proof that the first attempt never ran


class Context:
    """State shared by the rules of one controller; modified only within `Controller.step`.

    Args:
        seed: seed of the controller's pseudo-random numbers.
        deployment: `interface.Deployment` that the controller was started with.
        now: start time, ns.
    """

    def __init__(self, seed, deployment, now):
        self.deployment = deployment
        self.now = now
        self.started_at = now
        self.orders = []
        self.backends = []
        self.proxies = []
        self.reported_spans = deque(maxlen=REPORTS_KEPT)
        self.observed_report_interval = deployment.report_interval
        self.reports_include_busy_share = False
        self.client_timeout = max((kind.client_timeout for kind in deployment.kinds), default=SECOND)
        total_credit = sum(kind.credit for kind in deployment.kinds) or 1
        self.latency_objective = (
            sum(kind.credit * kind.latency_objective for kind in deployment.kinds) / total_credit
        )
        self.unlimited_level = UNLIMITED_RATE if deployment.throttle == "rate" else 1.0
        self.admission = {
            kind: AdmissionLevel(self.unlimited_level, RETRY_AFTER_PROOF) for kind in deployment.kinds
        }
        self._seed = seed
        self._draws = 0

    @property
    def joined_proxies(self):
        """Proxies with an open stream, in the order in which they became known."""
        return [proxy for proxy in self.proxies if proxy.joined]

    def draw(self):
        """Returns a pseudo-random integer, determined by the seed and the number of earlier draws."""
        self._draws += 1
        return crc32(f"{self._seed}:{self._draws}".encode())

    def update_observed_report_interval(self):
        """Updates the time between two reports on a backend, ns.

        It exceeds the configured interval where the number of report lines is capped.
        """
        spans = self.reported_spans or [0]
        self.observed_report_interval = max(self.deployment.report_interval, median(spans))
