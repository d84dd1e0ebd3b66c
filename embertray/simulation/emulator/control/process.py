"""A process under virtual time, and a connection between a subscriber and a replica."""

from collections import deque

from .links import Stream

FRAME_BYTES = 4  # of a frame's length


class Process:
    """Something that is called with events, one at a time, and may be dead, stopped or busy."""

    def __init__(self, play, name):
        self.play, self.engine, self.name = play, play.engine, name
        self.alive, self.stopped, self.busy, self.life = False, False, False, 0
        self.waiting = deque()
        self.planned = None
        self.bytes_out = self.bytes_in = self.messages_out = 0

    def call(self, what, *given):
        """Calls now, or when the process is free again; a dead one misses it."""
        if not self.alive:
            return
        if self.stopped or self.busy:
            self.waiting.append((what, given))
            return
        what(*given)
        self.settle()

    def settle(self):
        """Does what follows from a call."""
        raise NotImplementedError

    def drain(self):
        """Calls what has waited."""
        while self.waiting and self.alive and not self.stopped and not self.busy:
            what, given = self.waiting.popleft()
            what(*given)
            self.settle()

    def plan(self, when):
        """`tick` is called at `when`; an earlier plan is replaced."""
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
        """Its time has come."""
        raise NotImplementedError

    def stop(self):
        """As by SIGSTOP."""
        self.stopped = True

    def go_on(self):
        """As by SIGCONT."""
        self.stopped = False
        self.call(self.tick)
        self.drain()


class Connection:
    """A stream in each direction between a subscriber and a replica."""

    def __init__(self, links, subscriber, replica, number):
        self.subscriber, self.replica, self.number = subscriber, replica, number
        life = replica.life
        self.up = Stream(links, subscriber.name, replica.name, lambda data: replica.hears(self, life, data))
        own = subscriber.life
        self.down = Stream(
            links, replica.name, subscriber.name, lambda data: subscriber.hears(self, own, data)
        )
        self.ended = False

    def end(self):
        """Both directions end."""
        self.ended = True
        self.up.end()
        self.down.end()
