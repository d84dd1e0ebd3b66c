"""Simulates cluster membership in virtual time: production cores on unreliable links.

Messages are encoded, and counted and dropped as bytes. A receiver whose copy arrives intact gets the message
object itself, since decoding the bytes gives an equal one (tests/test_scale.py checks this).
"""

import random
from collections import Counter

from embertray.cluster.membership import DEFAULT_CONFIG, Membership
from embertray.cluster.membership.messages import UnreadableMessageError, decode, encode

from .engine import NS_PER_MS, NS_PER_SECOND, Engine
from .member_links import Links
from .member_process import MemberProcess

# Initial time, ns: late enough for wall clocks that are hours behind.
START_NS = 100_000 * NS_PER_SECOND
# Time between the starts of two members of a new cluster, and time for all to learn of each other.
JOIN_PERIOD_NS = 50 * NS_PER_MS
SETTLE_TIME_NS = 20 * NS_PER_SECOND
# Time between two checks of a condition that is waited for.
POLL_PERIOD_NS = 10 * NS_PER_MS


def decode_or_none(data):
    """Decodes a datagram.

    Args:
        data: Its bytes.

    Returns:
        The message, or None: the bytes are not readable.
    """
    try:
        return decode(data)
    except UnreadableMessageError:
        return None


class MembershipSimulation:
    """All members of one cluster.

    Args:
        seed: Seed of all random draws.
        config: The members' MembershipConfig.
        core_type: Type of the members' core.
        **links: Settings of the Links.

    Attributes:
        processes: The newest MemberProcess of each address.
        changes: (ns, member name, change) of each change in a member's view of the cluster.
        bytes_sent: Bytes sent by address.
        messages_sent: Messages sent by address.
        unreadable_datagrams: Number of datagrams that could not be decoded.
        incarnations: Processes started so far.
    """

    def __init__(self, seed=1, config=DEFAULT_CONFIG, core_type=Membership, **links):
        self.engine = Engine(START_NS)
        self.seed = seed
        self.config = config
        self.core_type = core_type
        self.links = Links(random.Random(seed), **links)
        self.processes = {}
        self.changes = []
        self.bytes_sent = Counter()
        self.messages_sent = Counter()
        self.unreadable_datagrams = 0
        self.incarnations = 0

    def start_member(self, name, seeds=("m0",), address=None, clock=0, cluster="c"):
        """Starts a member's process.

        Args:
            name: The member's name.
            seeds: Addresses of the members through which it joins.
            address: Its address; None: its name.
            clock: Offset of its wall clock, ns.
            cluster: The cluster's name.

        Returns:
            The MemberProcess.
        """
        self.incarnations += 1
        now = self.engine.time
        address = address or name
        core = self.core_type(
            cluster,
            name,
            address,
            now + clock,
            now,
            random.Random(f"{self.seed} {self.incarnations}"),
            list(seeds),
            self.config,
        )
        process = MemberProcess(self, core)
        self.processes[address] = process
        process.schedule_step()
        return process

    def start_cluster(self, count):
        """Starts members one after the other, and lets time pass until they know each other.

        Args:
            count: Number of members; their names are m0, m1 and so on.

        Returns:
            The simulation itself.
        """
        for number in range(count):
            self.start_member(f"m{number}", [] if number == 0 else ["m0"])
            self.run(JOIN_PERIOD_NS)
        self.run(SETTLE_TIME_NS)
        return self

    def kill(self, address):
        """Kills a member's process without notifying other members.

        Args:
            address: The member's address.
        """
        self.processes[address].alive = False

    def send(self, process, messages):
        """Sends messages over the links.

        Args:
            process: The MemberProcess that sends them.
            messages: (receiver's address, message) pairs.
        """
        sender = process.core.local.address
        for receiver, message in messages:
            data = encode(message)
            self.bytes_sent[sender] += len(data)
            self.messages_sent[sender] += 1
            for delay, arrived in self.links.deliveries(sender, receiver, data):
                decoded = message if arrived is data else decode_or_none(arrived)
                self.engine.at(self.engine.time + delay, self._deliver, sender, receiver, decoded)

    def _deliver(self, sender, receiver, message):
        if receiver in self.processes:
            self.processes[receiver].receive(sender, message)

    def record_changes(self, process):
        """Moves a core's new events to the recorded changes.

        Args:
            process: The MemberProcess.
        """
        for change in process.core.events:
            self.changes.append((self.engine.time, process.core.local.name, change))
        process.core.events.clear()

    def run(self, duration):
        """Lets time pass.

        Args:
            duration: ns.
        """
        self.engine.run(self.engine.time + duration)

    def run_until(self, condition, timeout):
        """Lets time pass until a condition holds.

        Args:
            condition: A function without parameters, called every POLL_PERIOD_NS.
            timeout: The longest time to wait, ns.

        Returns:
            Time until the condition held, ns; None: it did not hold within the timeout.
        """
        began = self.engine.time
        while self.engine.time < began + timeout:
            if condition():
                return self.engine.time - began
            self.run(POLL_PERIOD_NS)
        return None

    def running_processes(self):
        """The processes that are alive and have not left the cluster.

        Returns:
            A list of MemberProcess items.
        """
        return [process for process in self.processes.values() if process.alive and not process.core.ended]

    def views_agree(self, group=None):
        """Whether the active members in each running member's view are exactly the running members.

        Args:
            group: Addresses of the members to compare; None: all.

        Returns:
            Whether all views agree.
        """
        cores = [p.core for p in self.running_processes() if group is None or p.core.local.address in group]
        names = {core.local.name for core in cores}
        return all({m.name for m in core.active_members} == names - {core.local.name} for core in cores)
