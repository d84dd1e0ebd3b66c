"""Members of a cluster under virtual time: production membership cores on links that fail.

Each message is encoded, counted and lost as bytes. A receiver whose copy arrives intact is handed the message
itself, since decoding the bytes gives an equal one (tests/test_scale.py checks this).
"""

import random
from collections import Counter

from embertray.cluster.membership import DEFAULT_CONFIG, Membership
from embertray.cluster.membership.messages import UnreadableMessageError, decode, encode

from .engine import NS_PER_MS, NS_PER_SECOND, Engine
from .member_links import Links
from .member_process import MemberProcess

# Where time begins, ns: late enough for wall clocks that are hours off.
START_NS = 100_000 * NS_PER_SECOND
# Time between two members' starts when a cluster is gathered, and until all know all.
JOIN_PERIOD_NS = 50 * NS_PER_MS
SETTLE_TIME_NS = 20 * NS_PER_SECOND
# Time between two looks at a condition that is waited for.
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
        seed: Of all random draws.
        pace: The members' MembershipConfig.
        make: Type of the members' core.
        **links: Settings of the Links.

    Attributes:
        at: MemberProcess by address, the newest of each.
        notes: (ns, member name, change) of each change in a member's view of the cluster.
        bytes: Bytes sent by address.
        sent: Messages sent by address.
        unreadable: Datagrams that could not be decoded.
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
            seeds: Addresses that it joins by.
            address: Its address; None: its name.
            clock: How far its wall clock is off, ns.
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
        """Starts members one after the other, and gives them time to know each other.

        Args:
            count: How many; they are called m0, m1 and so on.

        Returns:
            The simulation itself.
        """
        for number in range(count):
            self.start_member(f"m{number}", [] if number == 0 else ["m0"])
            self.run(JOIN_PERIOD_NS)
        self.run(SETTLE_TIME_NS)
        return self

    def kill(self, address):
        """Kills a member's process; nobody is notified.

        Args:
            address: The member's address.
        """
        self.processes[address].alive = False

    def send(self, process, messages):
        """Puts messages on the links.

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
        """Moves a core's new changes to the notes.

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
            condition: A function without parameters.
            timeout: The most time to pass, ns.

        Returns:
            ns until it held, by a look at every POLL_PERIOD_NS; None: it did not.
        """
        began = self.engine.time
        while self.engine.time < began + timeout:
            if condition():
                return self.engine.time - began
            self.run(POLL_PERIOD_NS)
        return None

    def running_processes(self):
        """The processes that run.

        Returns:
            A list of MemberProcess items.
        """
        return [process for process in self.processes.values() if process.alive and not process.core.ended]

    def views_agree(self, group=None):
        """Whether each living member takes exactly the living members for active.

        Args:
            group: Addresses of those that count; None: all.

        Returns:
            Whether they agree.
        """
        cores = [p.core for p in self.running_processes() if group is None or p.core.local.address in group]
        names = {core.local.name for core in cores}
        return all({m.name for m in core.active_members} == names - {core.local.name} for core in cores)
