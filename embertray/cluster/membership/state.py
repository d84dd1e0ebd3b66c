"""The data of one member's failure detector, and what can be asked of it."""

from collections import Counter

from .config import DEFAULT_CONFIG
from .gossip_queue import GossipQueue
from .health import LocalHealth
from .member import ALIVE, LEFT, Statement
from .member_table import MemberTable
from .round_robin import ShuffledRoundRobin


class MembershipState:
    """What one member knows of itself, of the others, and of its probes.

    The rules stand in the classes that derive from this one, each in its module: `Outbox` (what goes along
    with a message), `SuspicionRules`, `StatementRules`, `Prober`, `Reconnector`, `MessageHandlers` and
    `Membership`, which is what processes use.

    Attributes:
        local: What this member states about itself.
        members: MemberTable of all others.
        events: MemberChanged, to be taken and cleared by the caller.
        rejected: (reason, address) -> how many messages were rejected.
        joined: Whether a peer knows this incarnation.
        ended: Why this process has to end; "" as long as it has not.
        last_heard_at: When a message of another member last came, ns.
    """

    def __init__(self, cluster, name, address, wall_time, now, rng, seeds=(), config=DEFAULT_CONFIG):
        """Begin an incarnation.

        Args:
            cluster: Name of the cluster.
            name: Name of this member.
            address: Where others reach it, as host:port.
            wall_time: ns by this process's wall clock: its incarnation.
            now: The time, ns.
            rng: A seeded random.Random.
            seeds: Addresses of members to join by.
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
        """Return whether this process believes that the network has cut it off.

        Rule: others were there, and none was heard for as long as it takes to declare one of them dead.

        Args:
            now: The time, ns.
        """
        known = [member for member in self.members.values() if member.state != LEFT]
        longest_silence = self.config.min_suspicion_timeout(len(known) + 1) + 2 * self.config.probe_period
        return bool(known) and now - self.last_heard_at > longest_silence

    def end(self, reason):
        """Stop for good: nothing is probed, sent or answered any more.

        Args:
            reason: Why, for the log.
        """
        self.ended = reason
        self.probes = {}
