"""All entries that a process holds. Merging is commutative, associative and idempotent: of an owner the
latest life stays, in it for each key the latest version, and of one version the greatest age: that an entry
is older than told would break the readers' bound, that it is younger only costs a refresh."""

from collections import Counter, namedtuple

from .entry import Entry, bytes_of

S = 10**9
Held = namedtuple("Held", "incarnation version born value")  # born: ns by our clock
Known = namedtuple("Known", "owner value age_ns")
NOTHING = (-1, -1)  # the (life, version) of an owner of whom nothing is held


class StoreFullError(ValueError):
    """The entry does not fit under the cap; nothing was changed."""


class EntryStore:
    """`me`: own name; `life`: own life, raised by `reborn`. `cap`: bytes of all entries. What would go over
    it: an own entry raises Full; one that came is left out and counted (`shed`), the owners with the most
    bytes first. `keep`: ns that entries of a gone owner and taken back ones are held, so that no old copy
    brings them back. `closed`: nothing that is not held already is taken."""

    def __init__(self, me, life, cap_bytes=1 << 20, retention_ns=600 * S):
        self.name, self.incarnation, self.cap_bytes, self.retention_ns = me, life, cap_bytes, retention_ns
        self.entries, self.version, self.size_bytes, self.shed = {}, 0, 0, Counter()
        self.bytes_by_owner, self.gone, self.complete_up_to, self.incarnations, self.closed = (
            Counter(),
            {},
            {},
            {},
            False,
        )
        self.order_by_owner, self.changes = {}, 0  # owner -> {place: when it was last set, as a count}
        self.taken_back = set()  # places whose value is None

    # ---- own entries

    def put(self, now, key, value):
        """Tells an entry of ours. Raises Full."""
        place = (self.name, key)
        more = self.growth(place, value, self.entries.get(place))
        if self.size_bytes + more > self.cap_bytes:
            raise StoreFullError(f"{key}: {self.size_bytes + more} of {self.cap_bytes} bytes")
        self.version += 1
        self.set(Entry(self.name, key, self.incarnation, self.version, 0, value), now)

    def delete(self, now, key):
        """Takes an entry of ours back."""
        if (self.name, key) in self.entries:
            self.put(now, key, None)

    def adopt_incarnation(self, life):
        """Peers remember a later life of our name: all of ours is told again under one that is later
        still.
        """
        self.incarnation = life
        for place in self.places_of(self.name):
            self.version += 1
            self.entries[place] = self.entries[place]._replace(incarnation=life, version=self.version)

    # ---- what comes

    def merge(self, now, entries):
        """Takes what is newer; the entries that were."""
        return [entry for entry in entries if self.apply(now, entry)]

    def apply(self, now, entry):
        owner, life, place = entry.owner, entry.incarnation, (entry.owner, entry.key)
        if owner == self.name:
            return False  # we alone tell ours; a former life's is outdone by telling again
        if life < self.incarnations.get(owner, 0):
            return False  # what a former life told does not hold any more, told again or not
        self.lived(owner, life)
        old, born = self.entries.get(place), now - entry.age_ns
        if old is not None and (life, entry.version) <= (old.incarnation, old.version):
            if (life, entry.version) == (old.incarnation, old.version) and born < old.born:
                self.entries[place] = old._replace(born=born)
            return False
        more = self.growth(place, entry.value, old)
        if (
            self.closed
            and more > 0
            or self.size_bytes + more > self.cap_bytes
            and not self.room(entry.owner, more)
        ):
            self.shed[entry.owner] += 1
            return False
        self.set(entry, born)
        return True

    def lived(self, owner, life):
        """An owner's later life is heard of: what it told in a former one ends."""
        if life > self.incarnations.get(owner, 0):
            self.incarnations[owner] = life
            for place in self.places_of(owner):
                if self.entries[place].incarnation < life:
                    self.forget(place)

    def room(self, owner, more):
        """Whether an entry of `owner` may come although the cap is reached: others hold more than it would,
        and give way.
        """
        while self.size_bytes + more > self.cap_bytes:
            largest = max(
                self.bytes_by_owner, key=lambda name: (self.bytes_by_owner[name], name), default=None
            )
            if (
                largest in (None, owner, self.name)
                or self.bytes_by_owner[largest] <= self.bytes_by_owner[owner] + more
            ):
                return False
            self.forget(max(self.order_by_owner[largest]))
            self.shed[largest] += 1
        return True

    # ---- readers

    def freshest(self, now, key):
        """What each owner last told under `key`, youngest first, with its age in ns."""
        found = [
            Known(owner, h.value, now - h.born)
            for (owner, k), h in self.entries.items()
            if k == key and h.value is not None
        ]
        return sorted(found, key=lambda known: (known.age_ns, known.owner))

    def no_older_than(self, now, key, age):
        """The same, but nothing older than `age`: for those who would rather know nothing than what may not
        hold any more.
        """
        return [known for known in self.freshest(now, key) if known.age_ns <= age]

    # ---- exchange

    def digest(self):
        """owner -> (life, version) up to which all of an owner's entries are held."""
        return {**self.complete_up_to, self.name: (self.incarnation, self.version)}

    def missing_entries(self, now, digest):
        """What the other lacks by its digest, and how far that takes it: (entries, digest)."""
        ahead, newer = {}, []
        for owner, upto in self.digest().items():
            known = tuple(digest.get(owner, NOTHING))
            if upto > known:
                ahead[owner] = upto
                newer += self.newer(owner, known)
        newer.sort()  # in the order in which they were set: the same bytes whatever owners are ahead
        return [self.entry(now, place) for _, place in newer], ahead

    def newer(self, owner, known):
        """(count of its setting, place) of each entry of `owner` that is past the (life, version) `known`."""
        for place, change in self.order_by_owner.get(owner, {}).items():
            held = self.entries[place]
            if (held.incarnation, held.version) > known:
                yield change, place

    def entry(self, now, place):
        """An entry as it travels."""
        held = self.entries[place]
        return Entry(*place, held.incarnation, held.version, max(0, now - held.born), held.value)

    def mark_complete(self, digest):
        """All that `since` told with this digest was merged."""
        for owner, upto in digest.items():
            if owner != self.name and tuple(upto) > self.complete_up_to.get(owner, NOTHING):
                self.lived(owner, upto[0])
                self.complete_up_to[owner] = tuple(upto)

    # ---- age and end

    def expire(self, now, gone):
        """`gone`: names that membership takes for dead or left. Their entries end `keep` after they went."""
        self.gone = {name: self.gone.get(name, now) for name in gone}
        for place in [p for p in self.taken_back if now - self.entries[p].born >= self.retention_ns]:
            self.forget(place)
        for name in [name for name, at in self.gone.items() if now - at >= self.retention_ns]:
            for place in self.places_of(name):
                self.forget(place)
            self.complete_up_to.pop(name, None)  # its last life is remembered: a few bytes against old copies

    # ---- what is held

    def places_of(self, owner):
        """Places of an owner's entries, in the order in which they were set."""
        return list(self.order_by_owner.get(owner, ()))

    @staticmethod
    def growth(place, value, old):
        """Bytes by which all entries grow when `value` takes the place of what is held there, if anything."""
        return bytes_of(*place, value) - (bytes_of(*place, old.value) if old is not None else 0)

    def set(self, entry, born):
        owner, place = entry.owner, (entry.owner, entry.key)
        growth = self.growth(place, entry.value, self.entries.get(place))
        self.entries[place] = Held(entry.incarnation, entry.version, born, entry.value)
        places = self.order_by_owner.setdefault(owner, {})
        places.pop(place, None)
        self.changes += 1
        places[place] = self.changes
        (self.taken_back.add if entry.value is None else self.taken_back.discard)(place)
        self.size_bytes += growth
        self.bytes_by_owner[owner] += growth

    def forget(self, place):
        owner, old = place[0], self.entries.pop(place, None)
        if old is None:
            return
        size = bytes_of(*place, old.value)
        self.taken_back.discard(place)
        self.size_bytes -= size
        self.bytes_by_owner[owner] -= size
        del self.order_by_owner[owner][place]
        if not self.order_by_owner[owner]:
            del self.order_by_owner[owner], self.bytes_by_owner[owner]
