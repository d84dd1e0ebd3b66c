"""Trust by age; decisions, no I/O. Stands between the list's messages and the decision module.

At the start a list from disk is sorted by how long ago it was confirmed:

- FRESH_AGE_NS: as good as told now. It is handed on as it is.
- older: each ready backend is a candidate. What proxies' sums say of it proves it (answers) or refutes it
(nothing but
  failures). A proven one is handed on as it was; a refuted one stays or goes out until it answers or is
  listed. After VERIFICATION_PERIOD_NS the rest, of whom nothing was heard, is handed on as started just now:
  under the same name a replacement may stand there, cold, so the module's pace for cold ones holds for it. (All as cold from
  the first moment was tried: the module then lets in less among them, which cost more than it saved;
  docs/design/start.md has the figures.)
- while only such a list is there (half the drain's grace at most if it knows of a drain), proxies that hold
tables of a former controller are not bound: theirs are better.
  Those that hold their standing table only are bound at once. That ends when discovery has spoken, or most of
  the candidates have answered, or after TABLE_RETENTION_NS, or when a proxy reports that nothing it
  holds answers.
  Where proxies tell of backends that answer and are not on the list, the list is behind their tables: then
  only discovery or TABLE_RETENTION_UNLISTED_NS ends it.

When discovery speaks, an entry it lists counts, unless it is older than what is known here: a lagging
replica's list (an older epoch) brings nobody back who was told gone since, and takes nobody away who is known
from a newer list and answers. A whole list that suddenly lacks most of those who answer is asked for again
before the missing are believed gone, within a part of the drain's grace; what is told draining or gone in so
many words is believed at once.
"""

from collections import namedtuple

from embertray.common.snapshots import Snapshot, SnapshotEntry
from embertray.controller.endpoint_list.messages import EndpointEntry

S = 10**9
# -- constants: value, unit, reason
FRESH_AGE_NS = 30 * S  # ns; twice a snapshot's rhythm: in so short a time few backends are replaced
TABLE_RETENTION_NS = (
    20 * S
)  # ns that held tables are left alone on an old list: then drains missed meanwhile weigh more
TABLE_RETENTION_UNLISTED_NS = 300 * S  # ns that held tables are left alone where they know more than the list
VERIFICATION_PERIOD_NS = 3 * S  # ns that answers are waited for first: two report cycles and their way
PROVEN_SUCCESSES, REFUTED_FAILURES = (
    2,
    3,
)  # tries done that prove a candidate; tries failed without one done that refute it
SETTLED_SHARE = 0.5  # of the candidates proven: the list is then good enough for all
FAILING_SHARE = 0.9  # of a held table's tries failing: it is no better than the list
SUSPICIOUS_LOSS_SHARE = (
    0.5  # of those who answered lately missing from a whole list: it is asked for again first
)
ANSWERING_AGE_NS = 15 * S  # ns; an answer so young counts as answering now: some report cycles
CONFIRMATION_SHARE = (
    0.35  # of the drain's grace that the second answer is waited for: the rest is for telling the proxies
)
TOMBSTONE_PERIOD_NS = (
    600 * S
)  # ns that who was told gone is remembered against older lists: past any replica's lag
CLOCK_AHEAD_NS = 5 * S  # ns; a confirmation so far in the future is a clock set back: its age is not known

TrustDecision = namedtuple(
    "TrustDecision", "kind entries request_complete"
)  # how: changes | whole | cached | None; ask: for the whole again


class KnownBackend:
    """A backend as this controller knows it."""

    __slots__ = (
        "entry",
        "age",
        "candidate",
        "successes",
        "failures",
        "answered_at",
        "refuted",
        "confirmed_at",
        "handed_on",
    )

    def __init__(self, entry, age=0, doubt=False, wall=None):
        self.entry, self.age, self.candidate = entry, age, doubt
        self.confirmed_at = wall  # when it was last confirmed, ns since 1970; None: by the discovery of now
        self.successes = self.failures = self.answered_at = 0
        self.refuted = False  # refuted
        self.handed_on = not doubt  # the module knows it


class Trust:
    """`grace`: the site's drain grace, ns; `binds`: whether a backend that a whole list lacks counts as told
    gone.
    """

    def __init__(self, grace, binds=True):
        self.grace, self.binds = grace, binds
        self.backends, self.removed, self.epoch, self.started = {}, {}, 0, 0
        self.discovery_answered = False  # discovery has, since the start
        self.asked_out = False  # candidates of whom nothing was heard are handed on
        self.age, self.missing, self.missing_at = None, (), 0
        self.unlisted_answering = False  # proxies tell of backends that answer and are not on the list
        self.failing_proxies = set()  # proxies that hold tables in which nothing answers
        self.candidate_count, self.patience, self.clock = 0, TABLE_RETENTION_NS, 0

    # ---- the start

    def start(self, now, snapshot, wall, boot, mono):
        """A controller starts: the TrustDecision on its last snapshot (None: there is none), read at these
        clocks.
        """
        self.started = now
        if snapshot is None:
            return TrustDecision("cached", [], False)
        self.epoch = snapshot.epoch
        since = self.time_since(
            snapshot, wall, boot, mono
        )  # ns since the snapshot was written; None: not known
        entries = []
        for kept in snapshot.entries:
            age = (
                None
                if since is None or kept.confirmed > snapshot.wall_clock + CLOCK_AHEAD_NS
                else (since + max(0, snapshot.wall_clock - kept.confirmed))
            )
            doubt = kept.state == "ready" and (age is None or age > FRESH_AGE_NS)
            entry = EndpointEntry(kept.backend, kept.zone, kept.state, kept.started, kept.nominal)
            self.backends[kept.backend] = KnownBackend(entry, age, doubt, kept.confirmed)
            if not doubt:
                entries.append(entry)
        self.clock = snapshot.inventory_clock + (since or 0)
        self.candidate_count = sum(k.candidate for k in self.backends.values())
        if any(k.entry.state == "draining" for k in self.backends.values()):
            self.patience = min(TABLE_RETENTION_NS, self.grace // 2)
        ages = [k.age for k in self.backends.values()]
        self.age = None if not ages or None in ages else max(ages)
        for kept in snapshot.removed:
            if since is None or since + max(0, snapshot.wall_clock - kept.confirmed) < TOMBSTONE_PERIOD_NS:
                self.removed[kept.backend] = kept.started, now
        return TrustDecision("cached", entries, False)

    @staticmethod
    def time_since(snapshot, wall, boot, mono):
        """ns since the snapshot. Within one boot of one machine the boot's own clock tells, which nobody
        sets; else the wall clock, and if that is behind the snapshot it was set back: not known."""
        if boot and boot == snapshot.boot_id and mono >= snapshot.boot_clock:
            return mono - snapshot.boot_clock
        return wall - snapshot.wall_clock if wall >= snapshot.wall_clock else None

    @staticmethod
    def as_cold(entry, clock):
        return EndpointEntry(entry.backend, entry.zone, entry.state, max(clock, entry.started), entry.nominal)

    # ---- who is bound

    def keeps_tables(self, now, fresh, name):
        """Whether a joiner is left with the tables that it holds, for now."""
        return not fresh and not self.is_settled(now) and name not in self.failing_proxies

    def is_settled(self, now):
        if self.discovery_answered or not self.candidate_count:
            return True
        if self.unlisted_answering:
            return now - self.started >= max(
                self.patience, TABLE_RETENTION_UNLISTED_NS if self.patience == TABLE_RETENTION_NS else 0
            )
        if now - self.started >= self.patience:
            return True
        proven = sum(1 for k in self.backends.values() if k.candidate and k.successes >= PROVEN_SUCCESSES)
        return proven >= SETTLED_SHARE * self.candidate_count

    def describe(self, now):
        """In words, for operators."""
        if self.discovery_answered:
            return "discovery has spoken"
        if not self.backends:
            return "no list: neither discovery nor the disk gave one; proxies keep their tables"
        age = "of unknown age" if self.age is None else f"{self.age / S:.0f} s old"
        if not self.candidate_count:
            return f"the list on disk, {age}, is taken as it is; discovery has not spoken"
        proven = sum(1 for k in self.backends.values() if k.candidate and k.successes >= PROVEN_SUCCESSES)
        refuted = sum(k.refuted for k in self.backends.values())
        state = (
            "good enough"
            if self.is_settled(now)
            else "not enough yet: proxies keep the tables that they hold"
        )
        return (
            f"the list on disk is {age}: {proven} of {self.candidate_count} candidates proven, "
            f"{refuted} refuted, {state}; discovery has not spoken"
        )

    # ---- what proxies met

    def observe(self, now, proxy, fresh, sums, came=0):
        """Evidence from one proxy's sums: (backend, tries, failed), and requests that came to it. Entries to
        be handed on as changes, if any.
        """
        changes, tries, bad = [], 0, 0
        for backend, n, failed in sums:
            tries, bad = tries + n, bad + failed
            known = self.backends.get(backend)
            if known is None:
                self.unlisted_answering = (
                    self.unlisted_answering
                    or not self.discovery_answered
                    and n > failed
                    and backend not in self.removed
                )
                continue
            known.successes += n - failed
            known.failures = 0 if n > failed else known.failures + failed
            if n > failed:
                known.answered_at = now
                if known.candidate and not known.handed_on and known.successes >= PROVEN_SUCCESSES:
                    known.refuted, known.handed_on = False, True
                    changes.append(known.entry)
            elif (
                known.candidate
                and not self.discovery_answered
                and not known.refuted
                and not known.successes
                and known.failures >= REFUTED_FAILURES
            ):
                known.refuted = True
                if known.handed_on:
                    known.handed_on = False
                    changes.append(EndpointEntry(backend, known.entry.zone, "gone"))
        if not fresh and (tries >= REFUTED_FAILURES and bad > FAILING_SHARE * tries or came and not tries):
            self.failing_proxies.add(proxy)
        return changes

    def proxy_left(self, proxy):
        self.failing_proxies.discard(proxy)

    # ---- what discovery says

    def receive_update(self, now, how, epoch, entries):
        """One answer of discovery: the TrustDecision on it. how: changes | whole | failed."""
        if how == "failed":
            return TrustDecision("failed", [], False)
        self.forget(now)
        older = epoch < self.epoch
        if how == "changes":
            self.discovery_answered = True
            self.epoch = max(self.epoch, epoch)
            return TrustDecision("changes", [e for e in entries if self.take(now, e, older)], False)
        named = {e.backend for e in entries}
        lacks = [b for b, k in self.backends.items() if b not in named]
        answering = [
            b for b, k in self.backends.items() if k.answered_at and now - k.answered_at < ANSWERING_AGE_NS
        ]
        lost = [b for b in answering if b not in named]
        ask = False
        if (
            older
        ):  # a lagging replica takes nobody away who is known from a newer list, unless nothing answers there
            lacks = [b for b in lacks if self.backends[b].refuted]
        elif len(lost) > SUSPICIOUS_LOSS_SHARE * len(answering) and answering:
            if set(lost) - set(
                self.missing
            ):  # the first such answer: once more, before they are believed gone
                self.missing, self.missing_at, ask = tuple(lost), now, True
                lacks = [b for b in lacks if b not in lost]
            else:
                self.missing = ()
        else:
            self.missing = ()
        first, self.discovery_answered = not self.discovery_answered, True
        self.epoch = max(self.epoch, epoch)
        taken = [e for e in entries if self.take(now, e, older)]
        if older or ask:
            return TrustDecision("changes", taken + self.go(now, lacks), ask)
        for backend in lacks:
            self.lose(now, backend)
        handed = taken if len(taken) == len(entries) else [k.entry for k in self.backends.values()]
        return TrustDecision("whole", handed, first and older)

    def apply_timers(self, now):
        """Entries whose time has come: candidates of whom nothing was heard, as cold; and those that a second
        answer was waited for too long, as gone."""
        if self.waiting() and now - self.started >= VERIFICATION_PERIOD_NS:
            found = [k for k in self.backends.values() if not k.handed_on and not k.refuted]
            for known in found:
                known.handed_on = True
            self.asked_out = True
            return [self.as_cold(k.entry, self.clock + now - self.started) for k in found]
        if self.missing and now - self.missing_at >= CONFIRMATION_SHARE * self.grace:
            if not self.binds:  # the site lets dropped ones stay: as long as they answer
                still = tuple(
                    b
                    for b in self.missing
                    if b in self.backends and now - self.backends[b].answered_at < ANSWERING_AGE_NS
                )
                gone, self.missing, self.missing_at = [b for b in self.missing if b not in still], still, now
            else:
                gone, self.missing = self.missing, ()
            return self.go(now, [b for b in gone if b in self.backends])
        return []

    def waiting(self):
        return not self.asked_out and any(not k.handed_on and not k.refuted for k in self.backends.values())

    def next_timer(self):
        if self.waiting():
            return self.started + VERIFICATION_PERIOD_NS
        return self.missing_at + int(CONFIRMATION_SHARE * self.grace) if self.missing else None

    def take(self, now, entry, older):
        """Whether an entry of discovery's counts; if so it is known from now on."""
        backend, known = entry.backend, self.backends.get(entry.backend)
        if entry.state == "gone":
            if older and known and known.entry.started > entry.started:
                return False
            self.lose(now, backend)
            return True
        if older:
            if backend in self.removed and entry.started <= self.removed[backend][0]:
                return False  # told gone since, and not started anew
            if known and (
                known.entry.started > entry.started
                or known.entry.state == "draining"
                and known.entry.started == entry.started
            ):
                return False
        new = KnownBackend(entry)
        if known:
            new.successes, new.failures, new.answered_at = known.successes, known.failures, known.answered_at
        self.backends[backend] = new
        self.removed.pop(backend, None)
        self.missing = tuple(b for b in self.missing if b != backend)
        return True

    def go(self, now, backends):
        """They are gone: the entries that say so."""
        entries = [EndpointEntry(backend, self.backends[backend].entry.zone, "gone") for backend in backends]
        for backend in backends:
            self.lose(now, backend)
        return entries

    def lose(self, now, backend):
        known = self.backends.pop(backend, None)
        self.removed[backend] = (known.entry.started if known else 0), now

    # ---- to be kept

    def make_snapshot(self, now, clock, wall, boot, mono):
        """What a later start needs. An entry that discovery has not confirmed keeps its old time."""
        return Snapshot(
            self.epoch,
            clock,
            wall,
            boot,
            mono,
            [
                SnapshotEntry(
                    backend,
                    k.entry.zone,
                    k.entry.state,
                    k.entry.started,
                    wall if k.confirmed_at is None else k.confirmed_at,
                    k.entry.nominal,
                )
                for backend, k in self.backends.items()
            ],
            [
                SnapshotEntry(backend, "-", "gone", started, wall - max(0, now - at))
                for backend, (started, at) in self.removed.items()
            ],
        )

    def shed_memory(self):
        """Memory is short: the older half of those remembered as gone is forgotten; a list as old is then
        believed.
        """
        for backend in list(self.removed)[: (len(self.removed) + 1) // 2]:
            del self.removed[backend]
        self.removed, self.backends = (
            dict(self.removed),
            dict(self.backends),
        )  # made anew, a dict has no empty places

    def forget(self, now):
        for backend in [
            backend for backend, (_, at) in self.removed.items() if now - at > TOMBSTONE_PERIOD_NS
        ]:
            del self.removed[backend]
