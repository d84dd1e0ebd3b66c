"""Weight planning: capacity times slow start times health, as the desired lines of each zone."""

from .congestion import CongestionEstimate
from .learned_weights import LEARN_INTERVAL, LearnedWeights
from .locality import Locality
from .outlier_detection import OutlierDetection
from .slow_start import backends_with_weight


class WeightPlanner:
    """Runs the rules that determine the weights.

    Args:
        context: `Context` of the controller.
    """

    def __init__(self, context):
        self.context = context
        self.learned_weights = LearnedWeights(context)
        self.outliers = OutlierDetection(context)
        self.congestion = CongestionEstimate(context)
        self.locality = Locality(context)
        self._next_learn_at = 0

    def plan(self):
        """Computes the weights of one control cycle.

        Returns:
            (`FleetState`, list of (zone, `BackendState` -> desired weight; 0: no line)).
        """
        context = self.context
        stats = [backend.stats() for backend in context.backends if backend.state == "ready"]
        demand = self._demand()
        if context.now >= self._next_learn_at:
            self._next_learn_at = context.now + LEARN_INTERVAL
            self.learned_weights.learn(stats)
            self.outliers.recover(stats)
        self.outliers.eject(stats)
        state = self.congestion.estimate(stats)
        is_congested = self.congestion.is_congested(state, stats)
        weights = {row.backend: 0.0 for row in stats}  # a backend that is held back loses its line
        for row in backends_with_weight(stats, is_congested):
            weights[row.backend] = row.backend.capacity * row.warm_up_factor * row.backend.health
        return state, list(self.locality.lines(weights, demand))

    def _demand(self):
        """Returns zone -> requests a second received by its joined proxies."""
        demand = {}
        for proxy in self.context.joined_proxies:
            proxy.update_rates()
            demand[proxy.zone] = demand.get(proxy.zone, 0.0) + proxy.long_rate
        return demand
