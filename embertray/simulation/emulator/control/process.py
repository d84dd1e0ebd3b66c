"""A process under virtual time, and a connection between a subscriber and a replica."""

from collections import deque

from .links import Stream

# Bytes of the length before each message.
FRAME_BYTES = 4


class Process:
    """Something that handles calls, one at a time, and may be dead, stopped or busy.

    Args:
        play: The ControlPlay.
        name: The process's name.

    Attributes:
        alive: Whether it runs; a stopped process is alive.
        stopped: Whether it is stopped; calls wait.
        busy: Whether it waits for its disk; calls wait.
        life: Its incarnation; it changes with each start and each death.
        waiting: (callback, args) that wait.
        bytes_out, bytes_in, messages_out: Its traffic.
    """

    def __init__(self, play, name):
        self.play = play
        self.engine = play.engine
        self.name = name
        self.alive = False
        self.stopped = False
        self.busy = False
        self.life = 0
        self.waiting = deque()
        self.planned = None  # the Timer of the next tick
        self.bytes_out = 0
        self.bytes_in = 0
        self.messages_out = 0

    def call(self, callback, *args):
        """Calls now, or when the process is free again; a dead process misses it.

        Args:
            callback: What to call.
            *args: Its arguments.
        """
        if not self.alive:
            return
        if self.stopped or self.busy:
            self.waiting.append((callback, args))
            return
        callback(*args)
        self.settle()

    def settle(self):
        """Does what follows from a call."""
        raise NotImplementedError

    def drain(self):
        """Makes the calls that have waited, until the process is stopped or busy again."""
        while self.waiting and self.alive and not self.stopped and not self.busy:
            callback, args = self.waiting.popleft()
            callback(*args)
            self.settle()

    def plan(self, when):
        """Schedules the next tick in place of the one that was scheduled.

        Args:
            when: ns.
        """
        if self.planned is not None:
            if self.planned.when == when and not self.planned.cancelled:
                return
            self.planned.cancel()
        self.planned = self.engine.at(max(when, self.engine.time), self._wake, self.life)

    def _wake(self, life):
        self.planned = None
        if life == self.life:
            self.call(self.tick)

    def tick(self):
        """Does what is due."""
        raise NotImplementedError

    def stop(self):
        """Stops the process, as SIGSTOP does."""
        self.stopped = True

    def go_on(self):
        """Continues the process, as SIGCONT does."""
        self.stopped = False
        self.call(self.tick)
        self.drain()


class Connection:
    """A stream in each direction between a subscriber and a replica.

    Args:
        links: The Links.
        subscriber: The SubscriberProcess.
        replica: The ReplicaProcess.
        number: The subscriber's number for it.

    Attributes:
        up: The Stream to the replica.
        down: The Stream to the subscriber.
        ended: Whether it is closed.
    """

    def __init__(self, links, subscriber, replica, number):
        self.subscriber = subscriber
        self.replica = replica
        self.number = number
        self.ended = False
        replica_life = replica.life
        subscriber_life = subscriber.life
        self.up = Stream(
            links, subscriber.name, replica.name, lambda data: replica.hears(self, replica_life, data)
        )
        self.down = Stream(
            links, replica.name, subscriber.name, lambda data: subscriber.hears(self, subscriber_life, data)
        )

    def end(self):
        """Ends both directions."""
        self.ended = True
        self.up.end()
        self.down.end()
