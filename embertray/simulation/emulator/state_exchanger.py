"""Simulates state exchanges: production stores and exchanges, over streams on unreliable links."""

import random

from embertray.cluster.link.state_exchange import EXCHANGE_TIMEOUT_NS, FACTS_PERIOD_NS
from embertray.cluster.link.state_stream import encode_state_message
from embertray.cluster.state import AntiEntropyExchange, EntryStore
from embertray.common.framing import PREFIX

from .engine import NS_PER_MS

# Time between two checks of a link that carries nothing, or of a paused process.
POLL_PERIOD_NS = 20 * NS_PER_MS
# Checks of what is due in each probe period.
STEPS_PER_PROBE_PERIOD = 20


def timestamp_as_facts(now):
    """Facts that consist of the time at which they were written.

    Args:
        now: ns.

    Returns:
        bytes.
    """
    return str(now).encode()


class StateExchanger:
    """A member's replicated state: its store, its own facts written each second, one exchange at a time.

    Args:
        process: The MemberProcess that it belongs to.
        others: A function that returns all StateExchanger items by address.
        links: The Links.
        seed: Seed of the choice of peers.
        exchange_type: Type of the exchange.
        store_type: Type of the store.
        facts: A function that returns the facts to write at a time in ns, as bytes.

    Attributes:
        store: The EntryStore.
        exchange: The AntiEntropyExchange.
        next_facts_at: When the facts are written next, ns.
        bytes_sent: Bytes sent in its own exchanges and in those of others, frame prefixes included.
        exchanges_begun: Exchanges that it began.
        exchanges_failed: Those of them that failed.
    """

    def __init__(
        self,
        process,
        others,
        links,
        seed,
        exchange_type=AntiEntropyExchange,
        store_type=EntryStore,
        facts=timestamp_as_facts,
    ):
        core = process.core
        self.engine = process.simulation.engine
        now = self.engine.time
        self.process = process
        self.others = others
        self.links = links
        self.facts = facts
        self.store = store_type(core.local.name, core.local.incarnation)
        self.exchange = exchange_type(
            self.store,
            random.Random(f"{seed} {core.local.name} {core.local.incarnation}"),
            now,
            core.config.probe_period,
        )
        self.next_facts_at = now
        self.bytes_sent = 0
        self.exchanges_failed = 0
        self.exchanges_begun = 0
        self._number = 0  # of the exchange in progress; calls of older ones are ignored
        self._step_period = core.config.probe_period // STEPS_PER_PROBE_PERIOD  # ns
        self.engine.at(now, self._step)

    @property
    def running(self):
        """Whether the process runs; a paused one does."""
        return self.process.alive and not self.process.core.ended

    # ---- what is due

    def _step(self):
        """Maintains the store, and begins an exchange or schedules the next step."""
        if not self.running:
            return
        now = self.engine.time
        if self.process.paused:
            self.engine.at(now + POLL_PERIOD_NS, self._step)
            return
        self._maintain_store(now)
        addresses = self._peer_addresses() if now >= self.exchange.next_at else {}
        peer = self.exchange.next_peer(now, addresses)
        if peer is None:
            due = min(self.exchange.next_at, self.next_facts_at)
            self.engine.at(max(now + self._step_period, due), self._step)
        else:
            self._begin(now, addresses[peer])

    def _maintain_store(self, now):
        core = self.process.core
        self.store.expire(now, core.members.departed)
        if core.local.incarnation != self.store.incarnation:
            self.store.adopt_incarnation(core.local.incarnation)
        if now >= self.next_facts_at:
            self.next_facts_at = now + FACTS_PERIOD_NS
            self.store.put(now, "facts", self.facts(now))

    def _peer_addresses(self):
        return {member.name: member.address for member in self.process.core.active_members}

    # ---- an exchange: connection, acceptance, offer, and the deltas of both sides

    def _begin(self, now, address):
        self._number += 1
        self.exchanges_begun += 1
        number = self._number
        self.engine.at(now + EXCHANGE_TIMEOUT_NS, self._on_timeout, number)

        def on_connected():
            self._pass_message(number, address, False, lambda: self.send_offer(number, address))

        self._pass_message(number, address, True, on_connected)

    def _on_timeout(self, number):
        if number == self._number and self.running:
            self._fail()

    def _fail(self):
        self.exchanges_failed += 1
        self._finish()

    def _finish(self):
        self._number += 1
        self.engine.at(self.engine.time + self._step_period, self._step)

    def _pass_message(self, number, address, outgoing, on_arrival):
        """Sends one message of an exchange's stream.

        It waits until the exchange times out, while the link carries nothing or a process is paused.

        Args:
            number: The exchange's number.
            address: The peer's address.
            outgoing: Whether the message goes to the peer, not from it.
            on_arrival: Called when it arrives.
        """
        if number != self._number or not self.running:
            return
        peer = self.others().get(address)
        if peer is None or not peer.running:
            self._fail()
            return
        delay = None if self._is_stalled(peer) else self._stream_delay(address, outgoing)
        if delay is None:
            self.engine.at(
                self.engine.time + POLL_PERIOD_NS, self._pass_message, number, address, outgoing, on_arrival
            )
        else:
            self.engine.at(self.engine.time + delay, self._deliver, number, address, on_arrival)

    def _is_stalled(self, peer):
        return peer.process.paused or self.process.paused

    def _stream_delay(self, address, outgoing):
        here = self.process.core.local.address
        if outgoing:
            return self.links.stream_delay(here, address)
        return self.links.stream_delay(address, here)

    def _deliver(self, number, address, on_arrival):
        """Delivers a message; either process may have been paused or killed since it was sent."""
        peer = self.others().get(address)
        if number != self._number or not self.running or peer is None or not peer.running:
            return
        if self._is_stalled(peer):
            self.engine.at(self.engine.time + POLL_PERIOD_NS, self._deliver, number, address, on_arrival)
        else:
            on_arrival()

    def count(self, message):
        """Counts a message's bytes.

        Args:
            message: A state message to send.

        Returns:
            The message.
        """
        self.bytes_sent += len(encode_state_message(message)) + PREFIX.size
        return message

    def send_offer(self, number, address):
        """Sends the offer of an exchange, once its stream is open.

        Args:
            number: The exchange's number.
            address: The peer's address.
        """
        offer = self.count(self.exchange.offer())
        peer = self.others()[address]

        def on_offer():
            delta = peer.count(peer.exchange.on_offer(self.engine.time, offer))
            self._pass_message(number, address, False, lambda: self._on_delta(number, address, peer, delta))

        self._pass_message(number, address, True, on_offer)

    def _on_delta(self, number, address, peer, delta):
        answer, _ = self.exchange.on_delta(self.engine.time, delta)
        if answer is None:
            self._finish()
            return
        self.count(answer)
        self._pass_message(number, address, True, lambda: self._on_last_message(peer, answer))

    def _on_last_message(self, peer, answer):
        peer.exchange.on_delta(self.engine.time, answer)
        self._finish()
