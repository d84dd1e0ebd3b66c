"""Links between simulated members that are subject to a day's faults."""

from .member_links import Links


class WebLinks(Links):
    """Links whose state is that of a Web, which faults change.

    Args:
        random: A random.Random.
        web: The Web.
    """

    def __init__(self, random, web):
        super().__init__(random)
        self.web = web

    def deliveries(self, sender, receiver, data):
        """Draws the fate of a datagram, as Links do; nothing is corrupted.

        Args:
            sender: An address.
            receiver: An address.
            data: The datagram's bytes.

        Yields:
            (delay in ns, bytes) for each copy that arrives.
        """
        for extra_delay in self.web.way(sender, receiver).copies():
            yield self.random.randint(*self.delay) + extra_delay, data

    def stream_delay(self, sender, receiver):
        """Draws the delay of a part of a stream.

        Args:
            sender: An address.
            receiver: An address.

        Returns:
            ns, or None while the link is not open.
        """
        way = self.web.way(sender, receiver)
        return self.random.randint(*self.delay) + way.hold() if way.open else None
