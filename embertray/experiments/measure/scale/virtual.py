"""The cluster of hollow members under virtual time: the same cores, names, addresses and facts."""

from dataclasses import dataclass

from embertray.cluster.membership import MembershipConfig
from embertray.simulation.emulator.garbage_collection import rare_collections
from embertray.simulation.emulator.membership_simulation import MembershipSimulation
from embertray.simulation.emulator.state_exchanger import StateExchanger

from .fleet import MARKS, Summary
from .meter import Counters, Meter

MS, S = 10**6, 10**9  # ns
MARK = "mark"
MARK_CHECK_INTERVAL = 100 * MS  # ns between checks for marks, as in worker
FIRST_PORT = 20_000


@dataclass(frozen=True)
class Naming:
    """Names and addresses of the members; without `addresses` the names stand in for them."""

    prefix: str = "controller-"
    addresses: bool = True

    def name(self, number):
        """Returns the name of member `number`."""
        return f"{self.prefix}{number}"

    def address(self, number):
        """Returns the address of member `number`."""
        return f"127.0.0.1:{FIRST_PORT + number}" if self.addresses else self.name(number)


class VirtualMembers:
    """`size` members of one cluster, started one after the other as hollow members are."""

    def __init__(self, size, spans, period, facts_bytes, naming=Naming(), seed=1):
        self.membership = MembershipSimulation(
            seed,
            MembershipConfig.for_period(period),
        )
        self.engine, self.facts = self.membership.engine, b"f" * facts_bytes
        self.addresses = {naming.name(n): naming.address(n) for n in range(size)}
        self.marker, self.exchangers, self.delays, self.seed = naming.name(0), {}, {}, seed
        self.unseen = {}  # mark -> addresses that have not seen it
        self.meters = {name: Meter() for name in self.addresses}
        for n, name in enumerate(self.addresses):
            self.engine.at(self.engine.time + int(n * spans.spread * S), self.start, name)

    def start(self, name):
        """Starts a member with its exchange of state."""
        address = self.addresses[name]
        peers = [other for other in self.addresses.values() if other != address]
        process = self.membership.start_member(name, peers, address)
        self.exchangers[address] = StateExchanger(
            process, lambda: self.exchangers, self.membership.links, self.seed, facts=lambda _: self.facts
        )

    def read(self):
        """Reads the counters of all members."""
        for name, meter in self.meters.items():
            address = self.addresses[name]
            probes, state = self.membership.bytes_sent[address], self.exchangers[address].bytes_sent
            parts = {"probes": probes, "state": state}
            meter.read(
                self.engine.time, Counters(probes + state, 0, self.membership.messages_sent[address], parts)
            )

    def mark(self, number):
        """Writes a mark at the first member, and starts to look for it at all members."""
        self.exchangers[self.addresses[self.marker]].store.put(self.engine.time, MARK, str(number).encode())
        self.unseen[number] = set(self.exchangers)
        self.check_marks(number, self.engine.time)

    def check_marks(self, number, written_at):
        """Records the delays of a mark in s, and repeats until all members have seen it."""
        value = str(number).encode()
        for address in list(self.unseen[number]):
            entry = self.exchangers[address].store.entries.get((self.marker, MARK))
            if entry is not None and entry.value == value:
                self.unseen[number].discard(address)
                self.delays.setdefault(number, []).append((self.engine.time - written_at) / S)
        if self.unseen[number]:
            self.engine.at(self.engine.time + MARK_CHECK_INTERVAL, self.check_marks, number, written_at)

    def oldest(self):
        """Returns the greatest age of any member's facts at any member, in s; None if one lacks some."""
        now, size = self.engine.time, len(self.addresses)
        ages = [
            [known.age_ns for known in exchanger.store.latest_values(now, "facts")]
            for exchanger in self.exchangers.values()
        ]
        return max(map(max, ages)) / S if all(len(row) == size for row in ages) else None


def measure(size, spans, period, facts_bytes, naming=Naming()):
    """Returns the Summary of one size.

    Processor time and memory are 0, as members under virtual time have no processes of their own.
    """
    with rare_collections():
        members = VirtualMembers(size, spans, period, facts_bytes, naming)
        engine = members.engine
        engine.run(engine.time + int(((size - 1) * spans.spread + spans.settle) * S))
        begin, oldest = engine.time, []
        for number in range(MARKS):
            engine.at(begin + int(spans.window * S) * number // (MARKS + 1), members.mark, number)
        for second in range(int(spans.window) + 1):
            engine.run(begin + second * S)
            members.read()
            oldest.append(members.oldest())
    meters, seen = (
        members.meters.values(),
        [p.core.members.active_count + 1 for p in members.membership.running_processes()],
    )
    return Summary(
        size=size,
        count=size,
        processor=0.0,
        memory=0.0,
        sent=sum(meter.rate("sent") for meter in meters) / size,
        received=0.0,
        sent_worst=max(meter.worst("sent") for meter in meters),
        received_worst=0.0,
        messages=sum(meter.rate("messages") for meter in meters) / size,
        seen_min=min(seen),
        seen_mean=sum(seen) / size,
        oldest=None if None in oldest else max(oldest),
        delays={mark: (len(delays), max(delays)) for mark, delays in members.delays.items()},
        failures=sum(exchanger.exchanges_failed for exchanger in members.exchangers.values()),
        parts={
            name: sum(meter.part_rates()[name] for meter in meters) / size for name in ("probes", "state")
        },
    )
