"""What all rules of one controller share: its deployment, the time of the step, and who is known."""

from collections import deque
from statistics import median
from zlib import crc32

from .records.levels import AdmissionLevel
from .units import SECOND

REPORTS_KEPT = 64  # of each backend and proxy: several zones' reports over the long window
UNLIMITED_RATE = 10**6  # requests a second at a proxy: no limit
RETRY_AFTER_PROOF = 1  # a proxy retries only after proof that the first attempt never ran


class Context:
    """The shared state of one controller's rules; changed only within `Controller.step`.

    Args:
        seed: makes the controller's random draws its own.
        deployment: `interface.Deployment`, what the controller was started with.
        now: time of the start, ns.
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
        weights = sum(kind.credit for kind in deployment.kinds) or 1
        self.latency_objective = (
            sum(kind.credit * kind.latency_objective for kind in deployment.kinds) / weights
        )
        self.unlimited_level = UNLIMITED_RATE if deployment.throttle == "rate" else 1.0
        self.admission = {
            kind: AdmissionLevel(self.unlimited_level, RETRY_AFTER_PROOF) for kind in deployment.kinds
        }
        self._seed = seed
        self._draws = 0

    @property
    def joined_proxies(self):
        """The proxies whose stream stands, in the order in which they were first met."""
        return [proxy for proxy in self.proxies if proxy.joined]

    def draw(self):
        """Returns a pseudo-random integer that only the seed and the number of draws decide."""
        self._draws += 1
        return crc32(f"{self._seed}:{self._draws}".encode())

    def update_observed_report_interval(self):
        """Sets the ns between reports on one backend: longer than told where report lines are capped."""
        spans = self.reported_spans or [0]
        self.observed_report_interval = max(self.deployment.report_interval, median(spans))
