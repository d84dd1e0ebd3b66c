from .actor import c, i
from .ledger import Ledger
from .parts import Parts


class Channel(Ledger):
    """The queue of changed tables, the joiners and removals that pass it, and the nonces."""

    def __init__(self, hub):
        super().__init__(hub)
        self.zones, self.queue, self.sweep_at, self.levels, self.sets = {}, {}, 0, {}, []
        self.joins, self.out, self.withdrawn, self.urgent = {}, {}, {}, False

    tabs = property(lambda self: [tab for parts in self.zones.values() for tab in parts.tabs])
    parted = property(lambda self: any(len(parts.tabs) > 1 for parts in self.zones.values()))

    def on_want(self, zone, want):
        if zone not in self.zones:
            self.zones[zone] = Parts(self.hub)
        for tab in self.zones[zone].deal(want, self.part(), self.rates()):
            if self.changes(tab):
                self.queue.setdefault(tab, self.now)

    def part(self):
        """Lines of a table that the channel brings to all proxies in time (0: any): all may come to one
        controller at once, and who is not bound within the grace may still send to what has left."""
        site, times = self.site, [t for t in (self.site.drain_grace, self.site.bare_limit) if t]
        each = c.PARTED * site.channel_rate * min(times, default=0) / c.S / (site.proxies or 1)
        return max(c.LINES_LEAST, int(each - site.head - 2 - len(site.kinds))) if each else 0

    def rates(self):
        """Requests a second that usually come to the users of each table."""
        found = dict.fromkeys(self.tabs, 0.0)
        for px in [px for px in self.hub.pxs if px.table is not None]:
            found[px.table] += px.rate
        return found

    def on_join(self, px):
        self.joins[px] = self.urgent = True

    def on_remove(self, be):
        self.out[be], self.urgent = self.now, True

    def on_send(self, levels):
        """A message a proxy, by rank: removals, binds; then at beats, with levels, cuts, repeats, weights."""
        hub, now, binds, joined = self.hub, self.now, [], [px for px in self.hub.pxs if px.joined]
        self.levels, self.lines, self.urgent, self.sets, self.booked = levels or self.levels, {}, False, [], 0
        self.out = {be: at for be, at in self.out.items() if be.state != "ready"}
        users = {tab: [] for tab in [*self.tabs, None]}
        for px in joined:
            users[px.table].append(px)
        loose = users.pop(None)
        if now >= self.sweep_at:
            self.sweep_at = now + c.SWEEP
            self.queue = {tab: now for tab in self.tabs}
        if self.parted and self.out:  # who has waited longer may hold what leaves: the same grace runs
            self.bind(binds, c.URGENT, min(self.out.values()))
        # a part's bind is no dearer than withdrawals, and does more
        outs = self.removals(joined, users, [] if self.parted else loose)
        self.bind(binds, c.URGENT if self.out and self.parted else c.BINDS)
        for tab in users if levels else ():
            self.hasten(tab, users[tab])
        due = [tab for tab, at in self.queue.items() if levels and now >= at]
        for tab in [tab for tab in due if not (self.out and users[tab])]:
            self.push(tab, users[tab], binds)
        for px, tab in binds:
            px.table = tab
        hub.orders += self.sets + [i.Bind(px.handle, tab.handle) for px, tab in binds] + outs
        if self.lines:
            hub.orders.append(i.PutNonce(nonce := i.Nonce()))
            for px in self.lines:
                px.messages.ordered(nonce, now)
            if not self.waiting():
                self.flights.restart(now)
            self.flights.ordered(nonce, self.lines, self.booked)

    def hasten(self, tab, users):
        """Cuts, and lines for those that hardly have any; then levels."""
        rides = users and all(px in self.lines for px in users)  # levels cost no head then
        thin = users and len(tab.sent) < min(c.LINES_LEAST, len(tab.want) / 2)  # proxies have no line to pick
        lines = [(be, w, tab.sent.get(be, 0)) for be, w in self.changes(tab) if w]
        cuts = [(be, w) for be, w, old in lines if thin or not self.out and w < 0.5 * old]
        self.put(tab, cuts[: self.fits(users, len(cuts), c.URGENT if thin else c.HASTY, 1)])
        if rides or not self.out:
            self.put_levels(tab, users, c.URGENT if rides else c.HASTY)

    def bind(self, binds, rank, since=None):
        """Who waits longest first; who holds a standing table only is a quarter of the grace ahead."""
        rates, ahead = self.rates(), max(c.BEAT, self.site.drain_grace // 4)
        for px in sorted(
            (px for px in self.joins if px.joined and px.since < (since or self.now + 1)),
            key=lambda px: (px.since + (0 if px.fresh else ahead), -px.rate),
        ):
            tab = px.zone in self.zones and self.zones[px.zone].place(px, rates, bool(self.out))
            if tab and self.fits([px], self.size(tab), rank):
                del self.joins[px]
                binds.append((px, tab))
                rates[tab] += px.rate
            elif tab and self.site.pending_max and self.free(rank) < self.size(tab) + self.site.head + 1:
                break  # nor is there room for the rest

    def push(self, tab, users, binds):
        """The design's queue item, applied when all answered; who leaves a nonce open is bound anew."""
        oldest = self.now - self.patience()
        late = [px for px in users if px.messages.open_before(oldest)]
        moved = self.changes(tab)
        if late:
            binds += [(px, tab) for px in late if self.fits([px], self.size(tab), c.HASTY)]
            self.queue[tab] = self.now + min(c.RETRY_CAP, c.PATIENCE << min(tab.fails, 4))
            tab.fails += 1
        elif moved and (room := self.fits(users, len(moved), c.ORDINARY, 1)):
            self.put(tab, moved[:room])  # if that takes the channel long, the next waits: heads cost, too
            took = len(users) * (room + self.site.head + 1) * c.S / (self.site.channel_rate or c.S)
            self.queue[tab] = self.now + min(c.SOLVE, int(c.PACE * took))
        elif not moved and not any(px.messages.open for px in users):
            tab.fails = 0
            del self.queue[tab]

    def removals(self, joined, users, loose):
        """Outside the queue's delays: a table sheds all its gone lines in one message, as heads cost more;
        who is not bound yet withdraws them. Until all is out nothing goes but binds and what rides along."""
        outs, due = [], {tab: [be for be in self.out if be in tab.sent] for tab in users}
        for tab, gone in sorted(due.items(), key=lambda one: min((self.out[be] for be in one[1]), default=0)):
            room = self.fits(users[tab], len(gone), c.URGENT, (len(gone) + 1) // 2)
            self.put(tab, [(be, 0) for be in gone[:room]])
            if room:
                tab.fails, self.queue[tab] = 0, self.now
            if room < len(gone):  # small tables must not take the room again and again
                break
        for be in list(self.out):
            if not any(be in tab.sent for tab in users) and self.fits(loose, 1, c.URGENT):
                outs += [i.Withdraw(be.handle, True)] if loose else []
                self.withdrawn.update({be: True} if loose else {})
                del self.out[be]
        for be in [be for be in self.withdrawn if be.state == "ready" and self.fits(joined, 1, c.HASTY)]:
            outs.append(i.Withdraw(be.handle, False))
            del self.withdrawn[be]
        return outs

    def drop(self, part):
        """Forgets one that is gone, if its removal is out and nobody unbound holds it withdrawn (a bind
        clears that). Who comes back is taken as new, cold if it started lately."""
        loose = part in self.withdrawn and any(px.joined and px.table is None for px in self.hub.pxs)
        if loose or part in self.out or any(part in tab.sent for tab in self.tabs):
            return False
        self.joins.pop(part, None)
        self.withdrawn.pop(part, None)
        return True

    def size(self, tab):
        return 2 + tab.size() + len(self.levels)

    def changes(self, tab):
        """The lines that differ, the furthest off first: what has room goes, the rest later."""
        off = {
            be: w / tab.sent.get(be, 1e-9) - 1
            for be, w in tab.want.items()
            if be.state == "ready" and (w or be in tab.sent)
        }
        return [(be, tab.want[be]) for be in sorted(off, key=lambda b: -abs(off[b])) if abs(off[be]) > c.MOVE]

    def put(self, tab, lines):
        self.sets += [i.SetLine(tab.handle, be.handle, w) for be, w in lines]
        tab.put(lines)

    def put_levels(self, tab, users, rank):
        for kind, row in self.levels.items():
            if tab.levels.get(kind) != row and self.fits(users, 1, rank):
                tab.levels[kind] = row
                self.sets.append(i.SetLevel(tab.handle, [kind], *row))
