"""Links between machines, one way each, open or closed, and the streams that keep their order over them."""

from collections import deque

MS = 10**6


class Links:
    """`region`: machine -> region. A closed pair carries nothing; what a stream holds for it goes when it
    opens again, as TCP sends again."""

    def __init__(self, engine, chance, region, near=(1 * MS, 3 * MS), far=(20 * MS, 80 * MS)):
        self.engine, self.chance, self.region = engine, chance, region
        self.near, self.far = near, far
        self.closed = set()  # (from, to)
        self.groups = {}  # machine -> group; machines of different groups don't reach each other
        self.streams = {}  # (from, to) -> set of Stream that hold something

    def open(self, sender, receiver):
        """Whether a message passes now."""
        if (sender, receiver) in self.closed:
            return False
        return self.groups.get(sender, 0) == self.groups.get(receiver, 0)

    def both_ways(self, one, other):
        """Whether messages pass in both directions."""
        return self.open(one, other) and self.open(other, one)

    def delay(self, sender, receiver):
        """ns that a message takes."""
        near = self.region.get(sender) == self.region.get(receiver)
        return self.chance.randint(*(self.near if near else self.far))

    # ---- faults

    def split(self, *groups):
        """Machines of different groups don't reach each other; who is in none is in the first."""
        self.groups = {name: number for number, group in enumerate(groups) for name in group}
        self._release()

    def close(self, sender, receiver):
        """Closes one direction."""
        self.closed.add((sender, receiver))

    def heal(self):
        """Opens everything."""
        self.closed, self.groups = set(), {}
        self._release()

    def hold(self, stream):
        """A stream waits for its way to open."""
        self.streams.setdefault((stream.sender, stream.receiver), {})[stream] = True

    def _release(self):
        for pair in [pair for pair in self.streams if self.open(*pair)]:
            for stream in self.streams.pop(pair):
                stream.resume()


class Stream:
    """Bytes in one direction, in order. `deliver(data)` is called for each message that arrives."""

    def __init__(self, links, sender, receiver, deliver):
        self.links, self.sender, self.receiver, self.deliver = links, sender, receiver, deliver
        self.held, self.arrives_at, self.ended = deque(), 0, False

    def send(self, data):
        """Sends a message, or holds it while the way is closed."""
        if self.ended:
            return
        if self.held or not self.links.open(self.sender, self.receiver):
            self.held.append(data)
            self.links.hold(self)
            return
        engine = self.links.engine
        delay = self.links.delay(self.sender, self.receiver)
        self.arrives_at = max(self.arrives_at + 1, engine.time + delay)
        engine.at(self.arrives_at, self._arrive, data)

    def resume(self):
        """The way is open again."""
        held, self.held = self.held, deque()
        for data in held:
            self.send(data)

    def end(self):
        """Nothing is delivered any more."""
        self.ended = True
        self.held.clear()

    def _arrive(self, data):
        if not self.ended:
            self.deliver(data)
