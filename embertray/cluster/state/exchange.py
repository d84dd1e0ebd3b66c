"""Whom to exchange with, and when: each period one member, each member once in a round; an exchange tells
both ways.

Bound: a member exchanges with each other reachable one within two rounds, so an entry is known at every
reachable member within 2 (n - 1) periods and the time of one exchange, however the rounds fall; mostly it
goes on through others in about log2 n periods."""

import msgspec

from embertray.cluster.membership.probes import Round

from .entry import Entry

S = 10**9


class Offer(msgspec.Struct, tag="offer", array_like=True, frozen=True):
    """What the sender holds, by owner."""

    digest: dict[str, tuple[int, int]]


class Delta(msgspec.Struct, tag="tell", array_like=True, frozen=True):
    """Entries that the other lacks, how far they take it; `back`: the sender's own digest, if it wants to be
    told in turn.
    """

    entries: list[Entry]
    complete_up_to: dict[str, tuple[int, int]]
    reply_digest: dict[str, tuple[int, int]] | None


def staleness_bound_ns(members, period, exchange, failing=0):
    """ns within which an entry is known at every member that is reached. `exchange`: ns that one takes at
    most; `failing`: members with which exchanges fail: their turns take as long."""
    return 2 * max(1, members - 1) * period + 2 * failing * exchange + exchange


class AntiEntropyExchange:
    """Of one EntryStore. `chance`: a seeded random.Random."""

    def __init__(self, store, chance, now, period=1 * S):
        self.store, self.period, self.round = store, period, Round(chance)
        self.next_at = now + chance.randrange(period)

    def next_peer(self, now, names):
        """Whom to make an Offer now, or None."""
        if now < self.next_at:
            return None
        self.next_at = max(self.next_at + self.period, now)
        return self.round.next(names)

    def offer(self):
        return Offer(self.store.digest())

    def on_offer(self, now, offer):
        entries, upto = self.store.missing_entries(now, offer.digest)
        return Delta(entries, upto, self.store.digest())

    def on_delta(self, now, delta):
        """The answer to give, or None; and the entries that were new."""
        before = dict(self.store.shed)
        new = self.store.merge(now, delta.entries)
        full = {owner for owner, count in self.store.shed.items() if count > before.get(owner, 0)}
        self.store.mark_complete(
            {owner: upto for owner, upto in delta.complete_up_to.items() if owner not in full}
        )  # the rest comes again
        if delta.reply_digest is None:
            return None, new
        entries, upto = self.store.missing_entries(now, delta.reply_digest)
        return Delta(entries, upto, None), new
