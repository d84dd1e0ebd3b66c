"""Unidirectional links between machines, and ordered message streams over them."""

from collections import deque

from embertray.simulation.emulator.engine import NS_PER_MS

# The shortest and the longest delay of a message within a region, and between regions.
NEAR_DELAY_NS = (1 * NS_PER_MS, 3 * NS_PER_MS)
FAR_DELAY_NS = (20 * NS_PER_MS, 80 * NS_PER_MS)


class Links:
    """All links of a simulation.

    A closed link carries nothing; streams queue their messages until it opens again, as TCP retransmits.

    Args:
        engine: The Engine.
        rng: A random.Random.
        region: Machine -> region.
        near: The shortest and the longest delay of a message within a region, ns.
        far: The same between regions, ns.

    Attributes:
        closed: (sender, receiver) pairs that carry nothing.
        groups: Machine -> group; machines of different groups don't reach each other.
        streams: (sender, receiver) -> the Streams that queue something, in the order of their first message.
    """

    def __init__(self, engine, rng, region, near=NEAR_DELAY_NS, far=FAR_DELAY_NS):
        self.engine = engine
        self.rng = rng
        self.region = region
        self.near = near
        self.far = far
        self.closed = set()
        self.groups = {}
        self.streams = {}  # values are dicts used as ordered sets, so that a seed always gives the same run

    def open(self, sender, receiver):
        """Whether a message passes now.

        Args:
            sender: A machine.
            receiver: A machine.

        Returns:
            Whether it does.
        """
        if (sender, receiver) in self.closed:
            return False
        return self.groups.get(sender, 0) == self.groups.get(receiver, 0)

    def bidirectional(self, first, second):
        """Whether messages pass in both directions.

        Args:
            first: A machine.
            second: A machine.

        Returns:
            Whether they do.
        """
        return self.open(first, second) and self.open(second, first)

    def delay(self, sender, receiver):
        """Draws the time of a message.

        Args:
            sender: A machine.
            receiver: A machine.

        Returns:
            ns.
        """
        near = self.region.get(sender) == self.region.get(receiver)
        return self.rng.randint(*(self.near if near else self.far))

    # ---- faults

    def split(self, *groups):
        """Partitions the network.

        Args:
            *groups: The machines of each side; those in no group belong to the first.
        """
        self.groups = {name: number for number, group in enumerate(groups) for name in group}
        self._release()

    def close(self, sender, receiver):
        """Closes one direction.

        Args:
            sender: A machine.
            receiver: A machine.
        """
        self.closed.add((sender, receiver))

    def heal(self):
        """Opens everything."""
        self.closed = set()
        self.groups = {}
        self._release()

    def enqueue(self, stream):
        """Registers a stream to be resumed when its link opens.

        Args:
            stream: The Stream.
        """
        self.streams.setdefault((stream.sender, stream.receiver), {})[stream] = True

    def _release(self):
        for pair in [pair for pair in self.streams if self.open(*pair)]:
            for stream in self.streams.pop(pair):
                stream.resume()


class Stream:
    """Messages in one direction, in order.

    Args:
        links: The Links.
        sender: A machine.
        receiver: A machine.
        deliver: Called with the bytes of each message that arrives.

    Attributes:
        queued: Messages that wait for the link to open.
        ended: Whether nothing is delivered any more.
    """

    def __init__(self, links, sender, receiver, deliver):
        self.links = links
        self.sender = sender
        self.receiver = receiver
        self.deliver = deliver
        self.queued = deque()
        self.ended = False
        self._last_arrival_at = 0  # ns

    def send(self, data):
        """Sends a message, or queues it while the link is closed.

        Args:
            data: bytes.
        """
        if self.ended:
            return
        if self.queued or not self.links.open(self.sender, self.receiver):
            self.queued.append(data)
            self.links.enqueue(self)
            return
        engine = self.links.engine
        delay = self.links.delay(self.sender, self.receiver)
        # At least 1 ns after the previous message, since a stream keeps its order.
        self._last_arrival_at = max(self._last_arrival_at + 1, engine.time + delay)
        engine.at(self._last_arrival_at, self._arrive, data)

    def resume(self):
        """Sends the queued messages after the link has opened."""
        queued = self.queued
        self.queued = deque()
        for data in queued:
            self.send(data)

    def end(self):
        """Drops queued messages and those in flight."""
        self.ended = True
        self.queued.clear()

    def _arrive(self, data):
        if not self.ended:
            self.deliver(data)
