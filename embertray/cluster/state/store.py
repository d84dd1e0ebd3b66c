"""All entries that a process holds. Merging is commutative, associative and idempotent: of an owner the
latest life stays, in it for each key the latest version, and of one version the greatest age: that an entry
is older than told would break the readers' bound, that it is younger only costs a refresh."""

from collections import Counter, namedtuple

from .entry import Entry, bytes_of

S = 10**9
Held = namedtuple("Held", "life version born value")  # born: ns by our clock
Known = namedtuple("Known", "owner value age")
NOTHING = (-1, -1)  # the (life, version) of an owner of whom nothing is held


class Full(ValueError):
    """The entry does not fit under the cap; nothing was changed."""


class EntryStore:
    """`me`: own name; `life`: own life, raised by `reborn`. `cap`: bytes of all entries. What would go over
    it: an own entry raises Full; one that came is left out and counted (`left_out`), the owners with the most
    bytes first. `keep`: ns that entries of a gone owner and taken back ones are held, so that no old copy
    brings them back. `closed`: nothing that is not held already is taken."""

    def __init__(self, me, life, cap=1 << 20, keep=600 * S):
        self.me, self.life, self.cap, self.keep = me, life, cap, keep
        self.held, self.version, self.bytes, self.left_out = {}, 0, 0, Counter()
        self.by_owner, self.gone, self.seen, self.lives, self.closed = Counter(), {}, {}, {}, False
        self.places, self.changes = {}, 0  # owner -> {place: when it was last set, as a count}
        self.taken_back = set()  # places whose value is None

    # ---- own entries

    def put(self, now, key, value):
        """Tells an entry of ours. Raises Full."""
        place = (self.me, key)
        more = self.growth(place, value, self.held.get(place))
        if self.bytes + more > self.cap:
            raise Full(f"{key}: {self.bytes + more} of {self.cap} bytes")
        self.version += 1
        self.set(Entry(self.me, key, self.life, self.version, 0, value), now)

    def drop(self, now, key):
        """Takes an entry of ours back."""
        if (self.me, key) in self.held:
            self.put(now, key, None)

    def reborn(self, life):
        """Peers remember a later life of our name: all of ours is told again under one that is later
        still.
        """
        self.life = life
        for place in self.places_of(self.me):
            self.version += 1
            self.held[place] = self.held[place]._replace(life=life, version=self.version)

    # ---- what comes

    def merge(self, now, entries):
        """Takes what is newer; the entries that were."""
        return [entry for entry in entries if self.apply(now, entry)]

    def apply(self, now, entry):
        owner, life, place = entry.owner, entry.life, (entry.owner, entry.key)
        if owner == self.me:
            return False  # we alone tell ours; a former life's is outdone by telling again
        if life < self.lives.get(owner, 0):
            return False  # what a former life told does not hold any more, told again or not
        self.lived(owner, life)
        old, born = self.held.get(place), now - entry.age
        if old is not None and (life, entry.version) <= (old.life, old.version):
            if (life, entry.version) == (old.life, old.version) and born < old.born:
                self.held[place] = old._replace(born=born)
            return False
        more = self.growth(place, entry.value, old)
        if self.closed and more > 0 or self.bytes + more > self.cap and not self.room(entry.owner, more):
            self.left_out[entry.owner] += 1
            return False
        self.set(entry, born)
        return True

    def lived(self, owner, life):
        """An owner's later life is heard of: what it told in a former one ends."""
        if life > self.lives.get(owner, 0):
            self.lives[owner] = life
            for place in self.places_of(owner):
                if self.held[place].life < life:
                    self.forget(place)

    def room(self, owner, more):
        """Whether an entry of `owner` may come although the cap is reached: others hold more than it would,
        and give way.
        """
        while self.bytes + more > self.cap:
            largest = max(self.by_owner, key=lambda name: (self.by_owner[name], name), default=None)
            if largest in (None, owner, self.me) or self.by_owner[largest] <= self.by_owner[owner] + more:
                return False
            self.forget(max(self.places[largest]))
            self.left_out[largest] += 1
        return True

    # ---- readers

    def freshest(self, now, key):
        """What each owner last told under `key`, youngest first, with its age in ns."""
        found = [
            Known(owner, h.value, now - h.born)
            for (owner, k), h in self.held.items()
            if k == key and h.value is not None
        ]
        return sorted(found, key=lambda known: (known.age, known.owner))

    def within(self, now, key, age):
        """The same, but nothing older than `age`: for those who would rather know nothing than what may not
        hold any more.
        """
        return [known for known in self.freshest(now, key) if known.age <= age]

    # ---- exchange

    def digest(self):
        """owner -> (life, version) up to which all of an owner's entries are held."""
        return {**self.seen, self.me: (self.life, self.version)}

    def since(self, now, digest):
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
        for place, change in self.places.get(owner, {}).items():
            held = self.held[place]
            if (held.life, held.version) > known:
                yield change, place

    def entry(self, now, place):
        """An entry as it travels."""
        held = self.held[place]
        return Entry(*place, held.life, held.version, max(0, now - held.born), held.value)

    def caught_up(self, digest):
        """All that `since` told with this digest was merged."""
        for owner, upto in digest.items():
            if owner != self.me and tuple(upto) > self.seen.get(owner, NOTHING):
                self.lived(owner, upto[0])
                self.seen[owner] = tuple(upto)

    # ---- age and end

    def owners(self, now, gone):
        """`gone`: names that membership takes for dead or left. Their entries end `keep` after they went."""
        self.gone = {name: self.gone.get(name, now) for name in gone}
        for place in [p for p in self.taken_back if now - self.held[p].born >= self.keep]:
            self.forget(place)
        for name in [name for name, at in self.gone.items() if now - at >= self.keep]:
            for place in self.places_of(name):
                self.forget(place)
            self.seen.pop(name, None)  # its last life is remembered: a few bytes against old copies

    # ---- what is held

    def places_of(self, owner):
        """Places of an owner's entries, in the order in which they were set."""
        return list(self.places.get(owner, ()))

    @staticmethod
    def growth(place, value, old):
        """Bytes by which all entries grow when `value` takes the place of what is held there, if anything."""
        return bytes_of(*place, value) - (bytes_of(*place, old.value) if old is not None else 0)

    def set(self, entry, born):
        owner, place = entry.owner, (entry.owner, entry.key)
        growth = self.growth(place, entry.value, self.held.get(place))
        self.held[place] = Held(entry.life, entry.version, born, entry.value)
        places = self.places.setdefault(owner, {})
        places.pop(place, None)
        self.changes += 1
        places[place] = self.changes
        (self.taken_back.add if entry.value is None else self.taken_back.discard)(place)
        self.bytes += growth
        self.by_owner[owner] += growth

    def forget(self, place):
        owner, old = place[0], self.held.pop(place, None)
        if old is None:
            return
        size = bytes_of(*place, old.value)
        self.taken_back.discard(place)
        self.bytes -= size
        self.by_owner[owner] -= size
        del self.places[owner][place]
        if not self.places[owner]:
            del self.places[owner], self.by_owner[owner]
