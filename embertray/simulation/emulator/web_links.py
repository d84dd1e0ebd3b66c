"""Links of simulated members that faults bend."""

from .member_links import Links


class WebLinks(Links):
    """The links of members that follow a Web, which faults bend.

    Args:
        random: A random.Random.
        web: The Web.
    """

    def __init__(self, random, web):
        super().__init__(random)
        self.web = web

    def deliveries(self, sender, receiver, data):
        """Draws what becomes of a datagram, as Links do; nothing is corrupted.

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
        """Draws the time of a part of a stream.

        Args:
            sender: An address.
            receiver: An address.

        Returns:
            ns, or None while the link is not open.
        """
        way = self.web.way(sender, receiver)
        return self.random.randint(*self.delay) + way.hold() if way.open else None
