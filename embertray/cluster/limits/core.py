"""The limits' state machine: its input is time and messages, its output messages and quotas."""

from .config import DEFAULT_CONFIG
from .election import LeaderElection
from .ledger import Ledger
from .messages import (
    Accepted,
    HistoryReply,
    HistoryRequest,
    OutgoingMessage,
    Prepare,
    Promise,
    Propose,
    QuotaGrant,
    QuotaRequest,
)
from .quota_holder import QuotaHolder


class Limits(LeaderElection):
    """One member's limits: it votes, may become the leader, and holds a quota.

    The caller passes the time to `advance`, no later than `next_at`, and received messages to `receive`; both
    return OutgoingMessages. `quota_holder` has the quotas of this member's proxies.

    Attributes:
        quota_holder: The QuotaHolder.
        pools: limit -> units that can be granted: the limit without the floors.
        ledger: The Ledger while this member is the leader, else None.
        leader_ballot: Ballot of the latest known leader.
        leader: Name of that leader, or None.
        next_request_at: When the next QuotaRequest is due, ns.
    """

    def __init__(
        self, name, names, totals, now, rng, config=DEFAULT_CONFIG, new_cluster=False, incarnation=0
    ):
        """Start a new incarnation.

        Args:
            name: Name of this member.
            names: Names of all members of the site, this one included.
            totals: limit -> units that all members together may use.
            now: The time, ns.
            rng: A seeded random.Random.
            config: A LimitsConfig.
            new_cluster: Whether no member has run before.
            incarnation: A number that increases with each incarnation; sequence numbers start from it.
        """
        self.next_request_at = now + rng.randrange(config.request_period)
        super().__init__(name, sorted(names), now, rng, config, new_cluster)
        count = len(self.names)
        floors = {limit: int(total * config.floor_share) // count for limit, total in totals.items()}
        self.pools = {limit: total - floors[limit] * count for limit, total in totals.items()}
        self.quota_holder = QuotaHolder(name, floors, config, incarnation)
        self.ledger = None
        self.leader_ballot = 0
        self.leader = None

    def next_at(self):
        """Return the latest time at which `advance` has to be called, ns."""
        return min(self.next_request_at, self.next_election_at)

    # ---- time

    def advance(self, now):
        """Run the timers that are due.

        Args:
            now: The time, ns.

        Returns:
            OutgoingMessages.
        """
        if self.ledger is not None and not self.is_leader(now):
            self.ledger = None  # the lease has ended: no more grants
        outgoing = []
        if now >= self.next_election_at:
            outgoing += self.run_election(now)
        if now >= self.next_request_at:
            outgoing += self.send_request(now)
        return outgoing

    def send_request(self, now):
        """Send this member's QuotaRequest to all others, and record it here.

        Args:
            now: The time, ns.
        """
        self.next_request_at = now + self.config.request_period
        request = self.quota_holder.make_request(now, self.leader_ballot, self.is_leader(now))
        self.history.record(self.name, request)
        outgoing = self.broadcast_to_others(request)
        if self.ledger is not None:
            self.grant_quota(now, self.name, request)
        return outgoing

    # ---- messages

    def receive(self, now, sender, message):
        """Handle a received message.

        Args:
            now: The time, ns.
            sender: Name of the member that sent it.
            message: The Message.

        Returns:
            OutgoingMessages.

        Raises:
            TypeError: There is no handler for its class.
        """
        match message:
            case Prepare() | Propose():
                return self.on_ballot(now, sender, message)
            case Promise() | Accepted():
                return self.on_vote(now, sender, message)
            case QuotaRequest():
                return self.on_request(now, sender, message)
            case QuotaGrant():
                self.quota_holder.apply_grant(now, message, self.leader_ballot)
            case HistoryRequest():
                return [OutgoingMessage(sender, HistoryReply(self.history.requests_by_member()))]
            case HistoryReply():
                self.history.merge(sender, message.requests)
            case _:
                raise TypeError(f"no handler for {type(message).__name__}")
        return []

    def on_elected(self, now):
        """Start to lead with a new ledger, or continue after a renewal of the lease.

        Args:
            now: The time, ns.
        """
        if self.ledger is None or self.leader_ballot != self.proposer.leader_ballot:
            self.leader_ballot = self.proposer.leader_ballot
            self.leader = self.name
            self.ledger = Ledger(
                self.names,
                self.pools,
                self.quota_holder.floors,
                self.config,
                now,
                self.history.requests_by_member(),
            )
        self.leader_heard_at = now

    def on_request(self, now, sender, request):
        """Handle another member's QuotaRequest: record the leader, and grant a quota if this member leads.

        Once a later leader is known, grants of a former one are not applied any more.

        Args:
            now: The time, ns.
            sender: Name of the member.
            request: The QuotaRequest.

        Returns:
            OutgoingMessages.
        """
        if not self.history.record(sender, request):
            return []  # duplicate, or older than the last request
        self.quota_holder.on_peer_request(sender, request)
        self.highest_ballot = max(self.highest_ballot, request.ballot)
        self.proposer.highest_leader_ballot = max(self.proposer.highest_leader_ballot, request.ballot)
        if request.leading and request.ballot >= self.leader_ballot:
            self.leader_ballot = request.ballot
            self.leader = sender
            self.leader_heard_at = now
        return self.grant_quota(now, sender, request)

    def grant_quota(self, now, requester, request):
        """Answer a QuotaRequest with a QuotaGrant, if this member is the leader that it addresses.

        Args:
            now: The time, ns.
            requester: Name of the requesting member.
            request: Its QuotaRequest.

        Returns:
            OutgoingMessages.
        """
        if self.ledger is None or not self.is_leader(now) or request.ballot != self.proposer.leader_ballot:
            return []
        if not self.ledger.record_request(now, requester, request):
            return []
        amounts = self.ledger.make_grant(now, requester)
        return self.reply(now, requester, QuotaGrant(request.sequence, request.ballot, amounts))
