"""Schedules the endpoint list snapshots of a simulated controller."""

from embertray.common.snapshots import CONFIRMATION_PERIOD_NS, SNAPSHOT_PERIOD_NS


class SnapshotSaver:
    """Saves a controller's endpoint list soon after a change, and regularly to confirm that it is valid.

    Args:
        controller: The SimulatedController.
        snapshots: Its InMemorySnapshots.

    Attributes:
        saved_at: When the list was last saved, ns.
    """

    def __init__(self, controller, snapshots):
        self.controller = controller
        self.simulation = controller.simulation
        self.snapshots = snapshots
        self.saved_at = self.simulation.engine.time - SNAPSHOT_PERIOD_NS
        self._next_save_at = None  # ns; None: no save is scheduled

    def schedule(self, when):
        """Schedules a save, unless one is scheduled for an earlier time.

        Args:
            when: ns.
        """
        if self._next_save_at is None or when < self._next_save_at:
            self._next_save_at = when
            self.simulation.engine.at(when, self._save, when)

    def _save(self, when):
        if self._next_save_at != when or not self.controller.alive:
            return
        now = self.simulation.engine.time
        self._next_save_at = None
        if self._is_confirmed():
            frontend = self.controller.frontend
            self.snapshots.save(frontend.make_snapshot(now, self.snapshots.clock_reading()))
            self.saved_at = now
        self.schedule(now + CONFIRMATION_PERIOD_NS)

    def _is_confirmed(self):
        """Whether the list is known to be current: its source is connected and has answered."""
        controller = self.controller
        return (
            controller.list_client.connection is not None
            and controller.frontend.trust.discovery_answered
            and not controller.frozen
        )
