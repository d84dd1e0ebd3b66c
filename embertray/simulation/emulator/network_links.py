"""Links between simulated members that are subject to a day's faults."""

from .member_links import Links


class NetworkLinks(Links):
    """Links whose state is that of a Network, which faults change.

    Args:
        random: A random.Random.
        network: The Network.
    """

    def __init__(self, random, network):
        super().__init__(random)
        self.network = network

    def deliveries(self, sender, receiver, data):
        """Draws the fate of a datagram, as Links do; nothing is corrupted.

        Args:
            sender: An address.
            receiver: An address.
            data: The datagram's bytes.

        Yields:
            (delay in ns, bytes) for each copy that arrives.
        """
        for extra_delay in self.network.link(sender, receiver).copy_delays():
            yield self.random.randint(*self.delay) + extra_delay, data

    def stream_delay(self, sender, receiver):
        """Draws the delay of a part of a stream.

        Args:
            sender: An address.
            receiver: An address.

        Returns:
            ns, or None while the link is not open.
        """
        link = self.network.link(sender, receiver)
        return self.random.randint(*self.delay) + link.stream_delay() if link.open else None
