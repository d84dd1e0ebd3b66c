"""The process of a simulated cluster member."""


class MemberProcess:
    """One incarnation of a member: the production membership core, driven by the engine.

    Args:
        simulation: The MembershipSimulation.
        core: The Membership.

    Attributes:
        paused: Whether the process is stopped; what arrives is deferred.
        alive: Whether it has not been killed.
    """

    def __init__(self, simulation, core):
        self.simulation = simulation
        self.core = core
        self.paused = False
        self.alive = True
        self._deferred = []  # (sender, message) that arrived while paused
        self._next_step_at = None  # ns; None: no step is scheduled

    def schedule_step(self):
        """Schedules the core's next step, unless one is scheduled for an earlier time."""
        when = max(self.core.next_at(), self.simulation.engine.time)
        if not self.alive or self.paused or self.core.ended:
            return
        if self._next_step_at is None or when < self._next_step_at:
            self._next_step_at = when
            self.simulation.engine.at(when, self._step, when)

    def _step(self, when):
        if self._next_step_at == when and self.alive and not self.paused:
            self._next_step_at = None
            self._finish_step(self.core.advance(when))

    def _finish_step(self, messages):
        self.simulation.send(self, messages)
        self.simulation.record_changes(self)
        self.schedule_step()

    def receive(self, sender, message):
        """Handles a datagram.

        Args:
            sender: The address that it came from.
            message: The decoded message; None: it could not be decoded.
        """
        if not self.alive:
            return
        if self.paused:
            self._deferred.append((sender, message))
            return
        if message is None:
            self.simulation.unreadable_datagrams += 1
            return
        self._finish_step(self.core.receive(self.simulation.engine.time, sender, message))

    def pause(self):
        """Stops the process, as SIGSTOP does."""
        self.paused = True

    def resume(self):
        """Continues the process: it handles what arrived meanwhile, in the order of arrival."""
        self.paused = False
        self._next_step_at = None
        deferred = self._deferred
        self._deferred = []
        for sender, message in deferred:
            self.receive(sender, message)
        self.schedule_step()
