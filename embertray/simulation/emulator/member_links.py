"""Links between simulated members, which drop, delay, duplicate and corrupt messages."""

from .engine import NS_PER_MS

# A corrupted byte has these bits flipped.
FLIPPED_BITS = 0x55


class Links:
    """The link of each ordered pair of addresses.

    Args:
        random: A random.Random.
        loss: Part of the messages that are lost, 0 to 1.
        delay: The shortest and the longest delay of a message, ns.
        duplication: Part of the messages that arrive twice, 0 to 1.
        corruption: Part of the messages that arrive changed or truncated, 0 to 1.

    Attributes:
        broken: Pairs (sender, receiver) whose link carries nothing.
        sides: Address -> number of its side in a network partition.
        extra_delay: Address -> additional delay of messages to it, ns.
    """

    def __init__(self, random, loss=0.0, delay=(NS_PER_MS, 5 * NS_PER_MS), duplication=0.0, corruption=0.0):
        self.random = random
        self.loss = loss
        self.delay = delay
        self.duplication = duplication
        self.corruption = corruption
        self.broken = set()
        self.sides = {}
        self.extra_delay = {}

    def carries(self, sender, receiver):
        """Whether the link is open.

        Args:
            sender: An address.
            receiver: An address.

        Returns:
            Whether messages can arrive.
        """
        same_side = self.sides.get(sender, 0) == self.sides.get(receiver, 0)
        return (sender, receiver) not in self.broken and same_side

    def deliveries(self, sender, receiver, data):
        """Draws the fate of a datagram.

        Args:
            sender: An address.
            receiver: An address.
            data: The datagram's bytes.

        Yields:
            (delay in ns, bytes) for each copy that arrives.
        """
        if not self.carries(sender, receiver) or self.random.random() < self.loss:
            return
        for _ in range(2 if self.random.random() < self.duplication else 1):
            if self.random.random() < self.corruption:
                data = self._corrupt(data)
            yield self.random.randint(*self.delay) + self.extra_delay.get(receiver, 0), data

    def _corrupt(self, data):
        """Flips bits of a random byte, or truncates the data there if its index is even."""
        place = self.random.randrange(len(data))
        if place % 2 == 0:
            return data[:place]
        return data[:place] + bytes([data[place] ^ FLIPPED_BITS]) + data[place + 1 :]

    def stream_delay(self, sender, receiver):
        """Draws the delay of a part of a stream.

        Args:
            sender: An address.
            receiver: An address.

        Returns:
            ns, or None while the link is not open.
        """
        return self.random.randint(*self.delay) if self.carries(sender, receiver) else None

    def split(self, *groups):
        """Partitions the network.

        Args:
            *groups: Addresses of each side; those in no group belong to the first.
        """
        self.sides = {address: number for number, group in enumerate(groups) for address in group}

    def heal(self):
        """Opens all links."""
        self.sides = {}
        self.broken = set()
