"""What members tell each other under virtual time: the true books and exchanges, over streams that links hold
back, silence or end.
"""

import random

from ..cluster.link.link import EXCHANGE_WITHIN, FACTS_EVERY, pack
from ..cluster.state import Book, Exchange
from ..stream.frames import PREFIX

MS = 10**6
LOOK = 20 * MS  # ns between two looks at a silent way, as the rig's streams take


def time_told(now):
    """Facts that say nothing but when they were told."""
    return str(now).encode()


class Sharer:
    """Beside one gossip.Process: its book, its facts told anew each second, one exchange at a time.
    `others()`: address -> Sharer; `facts(now)`: what is told, bytes. `bytes`: what it sent, in its own
    exchanges and in others', with the frames' lengths, as a link counts.
    """

    def __init__(self, process, others, links, seed, make=Exchange, book=Book, facts=time_told):
        self.facts = facts
        self.process, self.others, self.links, self.engine = process, others, links, process.ring.engine
        core, now = process.core, process.ring.engine.time
        self.book = book(core.me.name, core.me.life)
        self.exchange = make(
            self.book, random.Random(f"{seed} {core.me.name} {core.me.life}"), now, core.pace.period
        )
        self.facts_at, self.turn, self.bytes, self.failed, self.made = now, 0, 0, 0, 0
        self.engine.at(now, self.tick)

    @property
    def runs(self):
        return self.process.alive and not self.process.core.ended

    def tick(self):
        now, core = self.engine.time, self.process.core
        if not self.runs:
            return
        if self.process.stopped:
            self.engine.at(now + LOOK, self.tick)
            return
        self.book.owners(now, core.members.gone)
        if core.me.life != self.book.life:
            self.book.reborn(core.me.life)
        if now >= self.facts_at:
            self.facts_at = now + FACTS_EVERY
            self.book.put(now, "facts", self.facts(now))
        here = {m.name: m.address for m in core.here} if now >= self.exchange.at else {}
        if (name := self.exchange.next(now, here)) is None:
            self.engine.at(max(now + core.pace.period // 20, min(self.exchange.at, self.facts_at)), self.tick)
            return
        self.turn += 1
        self.made += 1
        self.engine.at(now + EXCHANGE_WITHIN, self.give_up, self.turn)
        turn, address = self.turn, here[name]
        # a call and its answer, the offer, what each lacks
        self.hop(
            turn, address, True, lambda: self.hop(turn, address, False, lambda: self.offer(turn, address))
        )

    def give_up(self, turn):
        if turn == self.turn and self.runs:
            self.failed += 1
            self.over()

    def over(self):
        self.turn += 1
        self.engine.at(self.engine.time + self.process.core.pace.period // 20, self.tick)

    def hop(self, turn, address, there, then):
        """One message of the stream; it waits on a silent way, or for one that stands still, until the
        exchange is given up.
        """
        if turn != self.turn or not self.runs:
            return
        a, b = (self.process.core.me.address, address) if there else (address, self.process.core.me.address)
        to = self.others().get(address)
        if to is None or not to.runs:
            self.failed += 1
            self.over()
        elif to.process.stopped or self.process.stopped or (hold := self.links.hold(a, b)) is None:
            self.engine.at(self.engine.time + LOOK, self.hop, turn, address, there, then)
        else:
            self.engine.at(self.engine.time + hold, self.arrive, turn, address, then)

    def arrive(self, turn, address, then):
        """As the last look may have been before one stood still."""
        to = self.others().get(address)
        if turn == self.turn and self.runs and to is not None and to.runs:
            if to.process.stopped or self.process.stopped:
                self.engine.at(self.engine.time + LOOK, self.arrive, turn, address, then)
            else:
                then()

    def say(self, message):
        self.bytes += len(pack(message)) + PREFIX.size
        return message

    def offer(self, turn, address):
        offer, to = self.say(self.exchange.offer()), self.others()[address]

        def answered():
            tell = to.say(to.exchange.on_offer(self.engine.time, offer))
            self.hop(turn, address, False, lambda: self.told(turn, address, to, tell))

        self.hop(turn, address, True, answered)

    def told(self, turn, address, to, tell):
        answer, _ = self.exchange.on_tell(self.engine.time, tell)
        if answer is not None:
            self.say(answer)
            self.hop(turn, address, True, lambda: self.last(to, answer))
        else:
            self.over()

    def last(self, to, answer):
        to.exchange.on_tell(self.engine.time, answer)
        self.over()
