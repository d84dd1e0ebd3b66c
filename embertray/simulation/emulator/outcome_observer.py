"""An observer for simulations that are measured, not judged."""

from embertray.simulation.scenarios.observer import Observer


class OutcomeObserver(Observer):
    """Records the outcomes of requests and no events, of which there are many more."""

    def note(self, at, what, who, *rest):
        """Drops an event.

        Args:
            at: Its time, ns.
            what: Its kind.
            who: Whose it is.
            *rest: Its details.
        """
