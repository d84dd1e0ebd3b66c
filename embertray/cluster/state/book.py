"""All entries that a process holds. Merging is commutative, associative and idempotent: of an owner the
latest life stays, in it for each key the latest version, and of one version the greatest age: that an entry
is older than told would break the readers' bound, that it is younger only costs a refresh."""

from collections import Counter, namedtuple

from .entry import Entry, bytes_of

S = 10**9
Held = namedtuple("Held", "life version born value")  # born: ns by our clock
Known = namedtuple("Known", "owner value age")


class Full(ValueError):
    """The entry does not fit under the cap; nothing was changed."""


class Book:
    """`me`: own name; `life`: own life, raised by `reborn`. `cap`: bytes of all entries. What would go over
    it: an own entry raises Full; one that came is left out and counted (`left_out`), the owners with the most
    bytes first. `keep`: ns that entries of a gone owner and taken back ones are held, so that no old copy
    brings them back. `closed`: nothing that is not held already is taken."""

    def __init__(self, me, life, cap=1 << 20, keep=600 * S):
        self.me, self.life, self.cap, self.keep = me, life, cap, keep
        self.held, self.version, self.bytes, self.left_out = {}, 0, 0, Counter()
        self.by_owner, self.gone, self.seen, self.lives, self.closed = Counter(), {}, {}, {}, False

    # ---- own entries

    def put(self, now, key, value):
        """Tells an entry of ours. Raises Full."""
        more = bytes_of(self.me, key, value) - self.charged((self.me, key))
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
        for place, old in [(p, h) for p, h in self.held.items() if p[0] == self.me]:
            self.version += 1
            self.held[place] = old._replace(life=life, version=self.version)

    # ---- what comes

    def merge(self, now, entries):
        """Takes what is newer; the entries that were."""
        return [entry for entry in entries if self.take(now, entry)]

    def take(self, now, entry):
        if entry.owner == self.me:
            return False  # we alone tell ours; a former life's is outdone by telling again
        if entry.life < self.lives.get(entry.owner, 0):
            return False  # what a former life told does not hold any more, told again or not
        self.lived(entry.owner, entry.life)
        old, born = self.held.get(entry.place), now - entry.age
        if old is not None and entry.rank <= (old.life, old.version):
            if entry.rank == (old.life, old.version) and born < old.born:
                self.held[entry.place] = old._replace(born=born)
            return False
        more = bytes_of(*entry.place, entry.value) - self.charged(entry.place)
        if self.closed and more > 0 or self.bytes + more > self.cap and not self.room(entry.owner, more):
            self.left_out[entry.owner] += 1
            return False
        self.set(entry, born)
        return True

    def lived(self, owner, life):
        """An owner's later life is heard of: what it told in a former one ends."""
        if life > self.lives.get(owner, 0):
            self.lives[owner] = life
            for place in [p for p, h in self.held.items() if p[0] == owner and h.life < life]:
                self.forget(place)

    def room(self, owner, more):
        """Whether an entry of `owner` may come although the cap is reached: others hold more than it would,
        and give way.
        """
        while self.bytes + more > self.cap:
            largest = max(self.by_owner, key=lambda name: (self.by_owner[name], name), default=None)
            if largest in (None, owner, self.me) or self.by_owner[largest] <= self.by_owner[owner] + more:
                return False
            key = max(key for name, key in self.held if name == largest)
            self.forget((largest, key))
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
        ours, rows = self.digest(), []
        ahead = {owner: mark for owner, mark in ours.items() if mark > tuple(digest.get(owner, (-1, -1)))}
        for (owner, key), h in self.held.items():
            if owner in ahead and (h.life, h.version) > tuple(digest.get(owner, (-1, -1))):
                rows.append(Entry(owner, key, h.life, h.version, max(0, now - h.born), h.value))
        return rows, ahead

    def caught_up(self, digest):
        """All that `since` told with this digest was merged."""
        for owner, mark in digest.items():
            if owner != self.me and tuple(mark) > self.seen.get(owner, (-1, -1)):
                self.lived(owner, mark[0])
                self.seen[owner] = tuple(mark)

    # ---- age and end

    def owners(self, now, gone):
        """`gone`: names that membership takes for dead or left. Their entries end `keep` after they went."""
        self.gone = {name: self.gone.get(name, now) for name in gone}
        ended = {name for name, at in self.gone.items() if now - at >= self.keep}
        for place in [
            p for p, h in self.held.items() if p[0] in ended or h.value is None and now - h.born >= self.keep
        ]:
            self.forget(place)
        for name in ended:
            self.seen.pop(name, None)  # its last life is remembered: a few bytes against old copies

    # ---- the shelf

    def charged(self, place):
        old = self.held.get(place)
        return bytes_of(*place, old.value) if old is not None else 0

    def set(self, entry, born):
        self.forget(entry.place)
        size = bytes_of(*entry.place, entry.value)
        self.held[entry.place] = Held(entry.life, entry.version, born, entry.value)
        self.bytes += size
        self.by_owner[entry.owner] += size

    def forget(self, place):
        size = self.charged(place)
        if self.held.pop(place, None) is not None:
            self.bytes -= size
            self.by_owner[place[0]] -= size
            if not self.by_owner[place[0]]:
                del self.by_owner[place[0]]
