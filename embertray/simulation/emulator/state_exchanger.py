"""Exchanges of state under virtual time: the true stores and exchanges, over streams that links hold
back, silence or end.
"""

import random

from embertray.cluster.link.state_exchange import EXCHANGE_TIMEOUT_NS, FACTS_PERIOD_NS
from embertray.cluster.link.state_stream import encode_state_message
from embertray.cluster.state import AntiEntropyExchange, EntryStore
from embertray.common.framing import PREFIX

MS = 10**6
LOOK = 20 * MS  # ns between two looks at a silent way, as the rig's streams take


def timestamp_facts(now):
    """Facts that say nothing but when they were told."""
    return str(now).encode()


class StateExchanger:
    """Beside one gossip.Process: its store, its facts told anew each second, one exchange at a time.
    `others()`: address -> StateExchanger; `facts(now)`: what is told, bytes. `bytes`: what it sent, in its
    own exchanges and in others', with the frames' lengths, as a link counts.
    """

    def __init__(
        self, process, others, links, seed, make=AntiEntropyExchange, store=EntryStore, facts=timestamp_facts
    ):
        self.facts = facts
        self.process, self.others, self.links, self.engine = process, others, links, process.simulation.engine
        core, now = process.core, process.simulation.engine.time
        self.store = store(core.local.name, core.local.incarnation)
        self.exchange = make(
            self.store,
            random.Random(f"{seed} {core.local.name} {core.local.incarnation}"),
            now,
            core.config.probe_period,
        )
        self.facts_at, self.turn, self.bytes, self.failed, self.made = now, 0, 0, 0, 0
        self.engine.at(now, self.tick)

    @property
    def running(self):
        return self.process.alive and not self.process.core.ended

    def tick(self):
        now, core = self.engine.time, self.process.core
        if not self.running:
            return
        if self.process.stopped:
            self.engine.at(now + LOOK, self.tick)
            return
        self.store.expire(now, core.members.departed)
        if core.local.incarnation != self.store.incarnation:
            self.store.adopt_incarnation(core.local.incarnation)
        if now >= self.facts_at:
            self.facts_at = now + FACTS_PERIOD_NS
            self.store.put(now, "facts", self.facts(now))
        here = {m.name: m.address for m in core.active_members} if now >= self.exchange.next_at else {}
        if (name := self.exchange.next_peer(now, here)) is None:
            self.engine.at(
                max(now + core.config.probe_period // 20, min(self.exchange.next_at, self.facts_at)),
                self.tick,
            )
            return
        self.turn += 1
        self.made += 1
        self.engine.at(now + EXCHANGE_TIMEOUT_NS, self.give_up, self.turn)
        turn, address = self.turn, here[name]
        # a call and its answer, the offer, what each lacks
        self.pass_message(
            turn,
            address,
            True,
            lambda: self.pass_message(turn, address, False, lambda: self.send_offer(turn, address)),
        )

    def give_up(self, turn):
        if turn == self.turn and self.running:
            self.failed += 1
            self.finish()

    def finish(self):
        self.turn += 1
        self.engine.at(self.engine.time + self.process.core.config.probe_period // 20, self.tick)

    def pass_message(self, turn, address, there, then):
        """One message of the stream; it waits on a silent way, or for one that stands still, until the
        exchange is given up.
        """
        if turn != self.turn or not self.running:
            return
        a, b = (
            (self.process.core.local.address, address)
            if there
            else (address, self.process.core.local.address)
        )
        to = self.others().get(address)
        if to is None or not to.running:
            self.failed += 1
            self.finish()
        elif to.process.stopped or self.process.stopped or (hold := self.links.hold(a, b)) is None:
            self.engine.at(self.engine.time + LOOK, self.pass_message, turn, address, there, then)
        else:
            self.engine.at(self.engine.time + hold, self.deliver, turn, address, then)

    def deliver(self, turn, address, then):
        """Either may have been stopped since the message was passed on."""
        to = self.others().get(address)
        if turn == self.turn and self.running and to is not None and to.running:
            if to.process.stopped or self.process.stopped:
                self.engine.at(self.engine.time + LOOK, self.deliver, turn, address, then)
            else:
                then()

    def count(self, message):
        self.bytes += len(encode_state_message(message)) + PREFIX.size
        return message

    def send_offer(self, turn, address):
        offer, to = self.count(self.exchange.offer()), self.others()[address]

        def at_other_end():
            delta = to.count(to.exchange.on_offer(self.engine.time, offer))
            self.pass_message(turn, address, False, lambda: self.on_answer(turn, address, to, delta))

        self.pass_message(turn, address, True, at_other_end)

    def on_answer(self, turn, address, to, delta):
        answer, _ = self.exchange.on_delta(self.engine.time, delta)
        if answer is not None:
            self.count(answer)
            self.pass_message(turn, address, True, lambda: self.on_last_message(to, answer))
        else:
            self.finish()

    def on_last_message(self, to, answer):
        to.exchange.on_delta(self.engine.time, answer)
        self.finish()
