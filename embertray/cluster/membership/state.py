"""The data of one member's failure detector, and queries on it."""

from collections import Counter

from .config import DEFAULT_CONFIG
from .gossip_queue import GossipQueue
from .health import LocalHealth
from .member import ALIVE, LEFT, Statement
from .member_table import MemberTable
from .round_robin import ShuffledRoundRobin


class MembershipState:
    """What one member knows about itself, the other members and its probes.

    The behaviour is in the subclasses, each in its own module: `Outbox` (messages with piggybacked gossip),
    `SuspicionRules`, `StatementRules`, `Prober`, `Reconnector`, `MessageHandlers` and `Membership`, which is
    the class that processes use.

    Attributes:
        local: This member's Statement about itself.
        members: MemberTable of all other members.
        events: MemberChanged events; the caller reads and clears them.
        rejected: (reason, address) -> number of rejected messages.
        joined: Whether a peer knows this incarnation, or there are no seeds.
        ended: Why this process has to end; "" while it runs.
        last_heard_at: When the last message from another member arrived, ns.
    """

    def __init__(self, cluster, name, address, wall_time, now, rng, seeds=(), config=DEFAULT_CONFIG):
        """Start a new incarnation.

        Args:
            cluster: Name of the cluster.
            name: Name of this member.
            address: The address at which others reach it, host:port.
            wall_time: This process's wall clock, ns; used as the incarnation.
            now: The time, ns.
            rng: A seeded random.Random.
            seeds: Addresses of members to send a Join to, host:port.
            config: A MembershipConfig.
        """
        self.cluster = cluster
        self.config = config
        self.rng = rng
        self.seeds = [seed for seed in seeds if seed != address]

        self.local = Statement(name, address, wall_time, 0, ALIVE)
        self.members = MemberTable()
        self.gossip = GossipQueue()
        self.health = LocalHealth(config.max_health_score)
        self.joined = not self.seeds
        self.ended = ""
        self.events = []
        self.rejected = Counter()

        self.probes = {}  # sequence number -> Probe
        self.probe_order = ShuffledRoundRobin(rng)
        self.reconnect_order = ShuffledRoundRobin(rng)
        self.sync_order = ShuffledRoundRobin(rng)
        self.last_sequence = 0
        self.outgoing = []

        self.last_run_at = now
        self.last_heard_at = now
        self.next_probe_at = now + rng.randrange(config.probe_period)
        self.next_reconnect_at = now

    @property
    def active_members(self):
        """The other members that are alive or suspect."""
        return [member for member in self.members.values() if member.active]

    def active_names(self):
        """Return the names of the other members that are alive or suspect."""
        return [member.name for member in self.members.values() if member.active]

    def state_of(self, name):
        """Return a member's MemberState, or None if it is not known.

        Args:
            name: Its name.
        """
        member = self.members.get(name)
        return None if member is None else member.state

    def cut_off(self, now):
        """Return whether this process seems to be cut off from the network.

        That is the case if other members are known and no message has arrived from any of them for the time
        in which a member is declared dead.

        Args:
            now: The time, ns.
        """
        known = [member for member in self.members.values() if member.state != LEFT]
        longest_silence = self.config.min_suspicion_timeout(len(known) + 1) + 2 * self.config.probe_period
        return bool(known) and now - self.last_heard_at > longest_silence

    def end(self, reason):
        """Stop the state machine for good: no more probes, messages or replies.

        Args:
            reason: The reason, for the status and the log.
        """
        self.ended = reason
        self.probes = {}
