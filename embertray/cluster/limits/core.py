"""The state machine of one member's limits: time and messages in, messages and quotas out."""

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
    """One member's limits: it votes, it may lead, and it holds a quota.

    Hand in the time (`advance`, at `next_at` at the latest) and what came (`receive`); both return
    OutgoingMessages. The quotas of its proxies are those of `quota_holder`.

    Attributes:
        quota_holder: The QuotaHolder.
        ledger: The Ledger while this member leads, else None.
        leader_ballot: Ballot of the latest leader that is known.
        leader: Name of that leader, or None.
        next_request_at: When to send the next QuotaRequest, ns.
    """

    def __init__(
        self, name, names, totals, now, rng, config=DEFAULT_CONFIG, new_cluster=False, incarnation=0
    ):
        """Begin an incarnation.

        Args:
            name: Name of this member.
            names: All members that the site names, this one included.
            totals: limit -> units that all members may use together.
            now: The time, ns.
            rng: A seeded random.Random.
            config: A LimitsConfig.
            new_cluster: Whether no member has run before.
            incarnation: Later in each; also the base of this incarnation's sequence numbers.
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
        """Return when to call `advance` at the latest, ns."""
        return min(self.next_request_at, self.next_election_at)

    # ---- time

    def advance(self, now):
        """Do what is due.

        Args:
            now: The time, ns.

        Returns:
            OutgoingMessages.
        """
        if self.ledger is not None and not self.is_leader(now):
            self.ledger = None  # the lease has ended: nothing more is lent
        outgoing = []
        if now >= self.next_election_at:
            outgoing += self.run_election(now)
        if now >= self.next_request_at:
            outgoing += self.send_request(now)
        return outgoing

    def send_request(self, now):
        """Send this member's QuotaRequest to all others, and enter it here.

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
        """Take a message.

        Args:
            now: The time, ns.
            sender: Name of the member that sent it.
            message: The message.

        Returns:
            OutgoingMessages.

        Raises:
            TypeError: It is no message of this protocol.
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
        """Begin a tenure, or go on with the one that was renewed.

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
        """Take another member's QuotaRequest: note its leader, and lend if that is this member.

        Grants of a former leader are not applied any more once a later one is known.

        Args:
            now: The time, ns.
            sender: Name of the member.
            request: The QuotaRequest.

        Returns:
            OutgoingMessages.
        """
        if not self.history.record(sender, request):
            return []  # repeated, or overtaken by a later one
        self.quota_holder.on_peer_request(sender, request)
        self.highest_ballot = max(self.highest_ballot, request.ballot)
        self.proposer.highest_known = max(self.proposer.highest_known, request.ballot)
        if request.leading and request.ballot >= self.leader_ballot:
            self.leader_ballot = request.ballot
            self.leader = sender
            self.leader_heard_at = now
        return self.grant_quota(now, sender, request)

    def grant_quota(self, now, requester, request):
        """Answer a QuotaRequest with a grant, if this member is the leader that it asks.

        Args:
            now: The time, ns.
            requester: Name of the member that asks.
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
