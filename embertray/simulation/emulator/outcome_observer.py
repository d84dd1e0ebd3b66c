"""An observer for simulations whose rules are not checked."""

from embertray.simulation.scenarios.observer import Observer


class OutcomeObserver(Observer):
    """Records the outcomes of requests but no events, which are far more numerous."""

    def note(self, at, what, who, *rest):
        """Drops an event.

        Args:
            at: Its time, ns.
            what: Its kind.
            who: The component that it concerns.
            *rest: Its details.
        """
