"""A simulated process, and a connection between a subscriber and a replica."""

from collections import deque

from .links import Stream

# Length of the prefix that each message has on the wire, bytes.
FRAME_BYTES = 4


class Process:
    """A process that handles one call at a time, and may be dead, stopped or busy.

    Args:
        simulation: The ControlPlaneSimulation.
        name: The process's name.

    Attributes:
        alive: Whether it runs; a stopped process is alive.
        stopped: Whether it is stopped; calls are deferred.
        busy: Whether it waits for its disk; calls are deferred.
        incarnation: A number that changes with each start and each kill.
        deferred: (callback, args) of deferred calls.
        bytes_out, bytes_in, messages_out: Its traffic.
    """

    def __init__(self, simulation, name):
        self.simulation = simulation
        self.engine = simulation.engine
        self.name = name
        self.alive = False
        self.stopped = False
        self.busy = False
        self.incarnation = 0
        self.deferred = deque()
        self.tick_timer = None  # of the next tick; None: none is scheduled
        self.bytes_out = 0
        self.bytes_in = 0
        self.messages_out = 0

    def call(self, callback, *args):
        """Calls now, or once the process is neither stopped nor busy; a dead process drops the call.

        Args:
            callback: What to call.
            *args: Its arguments.
        """
        if not self.alive:
            return
        if self.stopped or self.busy:
            self.deferred.append((callback, args))
            return
        callback(*args)
        self.after_call()

    def after_call(self):
        """Carries out what the core requested during a call."""
        raise NotImplementedError

    def run_deferred(self):
        """Makes the deferred calls, until the process is stopped or busy again."""
        while self.deferred and self.alive and not self.stopped and not self.busy:
            callback, args = self.deferred.popleft()
            callback(*args)
            self.after_call()

    def schedule_tick(self, when):
        """Schedules the next tick, and cancels the one that was scheduled before.

        Args:
            when: ns.
        """
        if self.tick_timer is not None:
            if self.tick_timer.when == when and not self.tick_timer.cancelled:
                return
            self.tick_timer.cancel()
        self.tick_timer = self.engine.at(max(when, self.engine.time), self._wake, self.incarnation)

    def _wake(self, incarnation):
        self.tick_timer = None
        if incarnation == self.incarnation:
            self.call(self.tick)

    def tick(self):
        """Advances the core, if it is due."""
        raise NotImplementedError

    def stop(self):
        """Stops the process, as SIGSTOP does."""
        self.stopped = True

    def resume(self):
        """Continues the process, as SIGCONT does."""
        self.stopped = False
        self.call(self.tick)
        self.run_deferred()


class Connection:
    """A stream in each direction between a subscriber and a replica.

    Args:
        links: The Links.
        subscriber: The SubscriberProcess.
        replica: The ReplicaProcess.
        number: The subscriber's identifier for it.

    Attributes:
        to_replica: The Stream to the replica.
        to_subscriber: The Stream to the subscriber.
        ended: Whether it is closed.
    """

    def __init__(self, links, subscriber, replica, number):
        self.subscriber = subscriber
        self.replica = replica
        self.number = number
        self.ended = False
        replica_incarnation = replica.incarnation
        subscriber_incarnation = subscriber.incarnation
        self.to_replica = Stream(
            links,
            subscriber.name,
            replica.name,
            lambda data: replica.on_message(self, replica_incarnation, data),
        )
        self.to_subscriber = Stream(
            links,
            replica.name,
            subscriber.name,
            lambda data: subscriber.on_message(self, subscriber_incarnation, data),
        )

    def end(self):
        """Ends both directions."""
        self.ended = True
        self.to_replica.end()
        self.to_subscriber.end()
