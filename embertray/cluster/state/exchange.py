"""Anti-entropy: selects the member for the next exchange of entries, and handles the messages of an exchange.

The initiator sends an Offer, the peer replies with a Delta of the entries that the initiator lacks, and the
initiator replies with a Delta of those that the peer lacks. `staleness` states how fast entries spread.
"""

import msgspec

from embertray.cluster.membership.round_robin import ShuffledRoundRobin

from .entry import Entry

SECOND_NS = 10**9
DEFAULT_PERIOD_NS = 1 * SECOND_NS

Digest = dict[str, tuple[int, int]]  # owner -> (incarnation, version)


class Offer(msgspec.Struct, tag="offer", array_like=True, frozen=True):
    """First message of an exchange.

    Attributes:
        digest: owner -> (incarnation, version) up to which the sender has all of the owner's entries.
    """

    digest: Digest


class Delta(msgspec.Struct, tag="tell", array_like=True, frozen=True):
    """Second and third message of an exchange.

    Attributes:
        entries: The entries that the receiver lacks.
        complete_up_to: owner -> (incarnation, version) up to which the receiver has all of the owner's
            entries once it has merged these.
        reply_digest: The sender's own digest if it expects a Delta in return, else None.
    """

    entries: list[Entry]
    complete_up_to: Digest
    reply_digest: Digest | None


class AntiEntropyExchange:
    """The exchanges of one member's EntryStore: one per period, with each other member once per round.

    Attributes:
        next_at: When the next exchange is due, ns.
    """

    def __init__(self, store, rng, now, period=DEFAULT_PERIOD_NS):
        """Schedule the first exchange at a random time within the first period.

        Args:
            store: The EntryStore.
            rng: A seeded random.Random.
            now: The time, ns.
            period: Time between two exchanges, ns.
        """
        self.store = store
        self.period = period
        self.order = ShuffledRoundRobin(rng)
        self.next_at = now + rng.randrange(period)

    def next_peer(self, now, names):
        """Return the member to start an exchange with now.

        Args:
            now: The time, ns.
            names: Names of the members that are alive or suspect.

        Returns:
            A name, or None if no exchange is due or there is no other member.
        """
        if now < self.next_at:
            return None
        self.next_at = max(self.next_at + self.period, now)
        return self.order.next_name(names)

    def offer(self):
        """Return the Offer that starts an exchange."""
        return Offer(self.store.digest())

    def on_offer(self, now, offer):
        """Return the Delta that answers an Offer.

        Args:
            now: The time, ns.
            offer: The Offer.
        """
        entries, complete_up_to = self.store.missing_entries(now, offer.digest)
        return Delta(entries, complete_up_to, self.store.digest())

    def on_delta(self, now, delta):
        """Merge a Delta.

        Args:
            now: The time, ns.
            delta: The Delta.

        Returns:
            The Delta to reply with, or None; and the entries that were new.
        """
        shed_before = dict(self.store.shed)
        new_entries = self.store.merge(now, delta.entries)
        # If entries of an owner were shed, the owner is not marked complete, so that they are sent again.
        shed_now = {owner for owner, count in self.store.shed.items() if count > shed_before.get(owner, 0)}
        self.store.mark_complete(
            {owner: rank for owner, rank in delta.complete_up_to.items() if owner not in shed_now}
        )
        if delta.reply_digest is None:
            return None, new_entries
        entries, complete_up_to = self.store.missing_entries(now, delta.reply_digest)
        return Delta(entries, complete_up_to, None), new_entries
