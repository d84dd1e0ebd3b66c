"""Messages on their way out, with what is to be handed on."""

from .member import ALIVE
from .messages import VERSION


class Outbox:
    """For one who has `cluster`, `me`, `pace`, `members`, `here`, `gossip`, `number` and a list `out`."""

    def next_sequence(self):
        self.last_sequence += 1
        return self.last_sequence

    def send(self, member, kind, number, **more):
        self.put(member.address, kind, member.statement.incarnation, number, member.name, **more)

    def answer(self, message, kind, number):
        self.put(message.sender.address, kind, message.sender.incarnation, number, message.sender.name)

    def put(self, address, kind, life, number, name, news=None, **more):
        """`name`: to whom; what we think ill of it goes along, so that it can deny it at once."""
        if news is None:
            news = self.gossip.pick(
                self.config.gossip_bytes, self.config.retransmissions(self.members.active_count + 1), name
            )
            member = self.members.get(name)
            if (
                member is not None
                and member.state != ALIVE
                and all(statement.name != name for statement in news)
            ):
                news.append(member.statement)
        self.outgoing.append((address, kind(self.cluster, VERSION, self.me, life, number, news, **more)))
