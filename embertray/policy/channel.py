from .actor import c, i
from .ledger import Ledger
from .parts import Parts


class Channel(Ledger):
    """The queue of changed tables, the joiners and removals that pass it, and the nonces."""

    def __init__(self, owner):
        super().__init__(owner)
        self.zones, self.queue, self.sweep_at, self.levels, self.sets = {}, {}, 0, {}, []
        self.joins, self.out, self.withdrawn, self.urgent = {}, {}, {}, False

    tables = property(lambda self: [table for parts in self.zones.values() for table in parts.tables])
    parted = property(lambda self: any(len(parts.tables) > 1 for parts in self.zones.values()))

    def on_want(self, zone, want):
        if zone not in self.zones:
            self.zones[zone] = Parts(self.owner)
        for table in self.zones[zone].deal(want, self.part(), self.rates()):
            if self.changes(table):
                self.queue.setdefault(table, self.now)

    def part(self):
        """Lines of a table that the channel brings to all proxies in time (0: any): all may come to one
        controller at once, and who is not bound within the grace may still send to what has left."""
        site, times = self.site, [t for t in (self.site.drain_grace, self.site.bare_limit) if t]
        each = c.PARTED * site.channel_rate * min(times, default=0) / c.S / (site.proxies or 1)
        return max(c.LINES_LEAST, int(each - site.head - 2 - len(site.kinds))) if each else 0

    def rates(self):
        """Requests a second that usually come to the users of each table."""
        found = dict.fromkeys(self.tables, 0.0)
        for proxy in [proxy for proxy in self.owner.proxies if proxy.table is not None]:
            found[proxy.table] += proxy.rate
        return found

    def on_join(self, proxy):
        self.joins[proxy] = self.urgent = True

    def on_remove(self, backend):
        self.out[backend], self.urgent = self.now, True

    def on_send(self, levels):
        """A message a proxy, by rank: removals, binds; then at beats, with levels, cuts, repeats, weights."""
        owner, now, binds, joined = self.owner, self.now, [], self.owner.joined
        self.levels, self.lines, self.urgent, self.sets, self.booked = levels or self.levels, {}, False, [], 0
        self.out = {backend: at for backend, at in self.out.items() if backend.state != "ready"}
        users = {table: [] for table in [*self.tables, None]}
        for proxy in joined:
            users[proxy.table].append(proxy)
        loose = users.pop(None)
        if now >= self.sweep_at:
            self.sweep_at = now + c.SWEEP
            self.queue = {table: now for table in self.tables}
        if self.parted and self.out:  # who has waited longer may hold what leaves: the same grace runs
            self.bind(binds, c.URGENT, min(self.out.values()))
        # a part's bind is no dearer than withdrawals, and does more
        outs = self.removals(joined, users, [] if self.parted else loose)
        self.bind(binds, c.URGENT if self.out and self.parted else c.BINDS)
        for table in users if levels else ():
            self.hasten(table, users[table])
        due = [table for table, at in self.queue.items() if levels and now >= at]
        for table in [table for table in due if not (self.out and users[table])]:
            self.push(table, users[table], binds)
        for proxy, table in binds:
            proxy.table = table
        owner.orders += self.sets + [i.Bind(proxy.handle, table.handle) for proxy, table in binds] + outs
        if self.lines:
            owner.orders.append(i.PutNonce(nonce := i.Nonce()))
            for proxy in self.lines:
                proxy.messages.ordered(nonce, now)
            if not self.waiting():
                self.flights.restart(now)
            self.flights.ordered(nonce, self.lines, self.booked)

    def hasten(self, table, users):
        """Cuts, and lines for those that hardly have any; then levels."""
        rides = users and all(proxy in self.lines for proxy in users)  # levels cost no head then
        least = min(c.LINES_LEAST, len(table.want) / 2)
        thin = users and len(table.sent) < least  # proxies have no line to pick
        lines = [(backend, w, table.sent.get(backend, 0)) for backend, w in self.changes(table) if w]
        cuts = [(backend, w) for backend, w, old in lines if thin or not self.out and w < 0.5 * old]
        self.put(table, cuts[: self.fits(users, len(cuts), c.URGENT if thin else c.HASTY, 1)])
        if rides or not self.out:
            self.put_levels(table, users, c.URGENT if rides else c.HASTY)

    def bind(self, binds, rank, since=None):
        """Who waits longest first; who holds a standing table only is a quarter of the grace ahead."""
        rates, ahead = self.rates(), max(c.BEAT, self.site.drain_grace // 4)
        waits = [p for p in self.joins if p.joined and p.since < (since or self.now + 1)]
        for proxy in sorted(waits, key=lambda p: (p.since + (0 if p.fresh else ahead), -p.rate)):
            table = proxy.zone in self.zones and self.zones[proxy.zone].place(proxy, rates, bool(self.out))
            if table and self.fits([proxy], self.size(table), rank):
                del self.joins[proxy]
                binds.append((proxy, table))
                rates[table] += proxy.rate
            elif table and self.site.pending_max and self.free(rank) < self.size(table) + self.site.head + 1:
                break  # nor is there room for the rest

    def push(self, table, users, binds):
        """The design's queue item, applied when all answered; who leaves a nonce open is bound anew."""
        oldest = self.now - self.patience()
        late = [proxy for proxy in users if proxy.messages.open_before(oldest)]
        moved = self.changes(table)
        if late:
            binds += [(proxy, table) for proxy in late if self.fits([proxy], self.size(table), c.HASTY)]
            self.queue[table] = self.now + min(c.RETRY_CAP, c.PATIENCE << min(table.fails, 4))
            table.fails += 1
        elif moved and (room := self.fits(users, len(moved), c.ORDINARY, 1)):
            self.put(table, moved[:room])  # if that takes the channel long, the next waits: heads cost, too
            took = len(users) * (room + self.site.head + 1) * c.S / (self.site.channel_rate or c.S)
            self.queue[table] = self.now + min(c.SOLVE, int(c.PACE * took))
        elif not moved and not any(proxy.messages.open for proxy in users):
            table.fails = 0
            del self.queue[table]

    def removals(self, joined, users, loose):
        """Outside the queue's delays: a table sheds all its gone lines in one message, as heads cost more;
        who is not bound yet withdraws them. Until all is out nothing goes but binds and what rides along."""
        outs, due = [], {table: [backend for backend in self.out if backend in table.sent] for table in users}
        oldest = {table: min((self.out[each] for each in gone), default=0) for table, gone in due.items()}
        for table, gone in sorted(due.items(), key=lambda item: oldest[item[0]]):
            room = self.fits(users[table], len(gone), c.URGENT, (len(gone) + 1) // 2)
            self.put(table, [(backend, 0) for backend in gone[:room]])
            if room:
                table.fails, self.queue[table] = 0, self.now
            if room < len(gone):  # small tables must not take the room again and again
                break
        for backend in list(self.out):
            if not any(backend in table.sent for table in users) and self.fits(loose, 1, c.URGENT):
                outs += [i.Withdraw(backend.handle, True)] if loose else []
                self.withdrawn.update({backend: True} if loose else {})
                del self.out[backend]
        back = [backend for backend in self.withdrawn if backend.state == "ready"]
        for backend in [each for each in back if self.fits(joined, 1, c.HASTY)]:
            outs.append(i.Withdraw(backend.handle, False))
            del self.withdrawn[backend]
        return outs

    def drop(self, part):
        """Forgets one that is gone, if its removal is out and nobody unbound holds it withdrawn (a bind
        clears that). Who comes back is taken as new, cold if it started lately."""
        loose = part in self.withdrawn and any(proxy.table is None for proxy in self.owner.joined)
        if loose or part in self.out or any(part in table.sent for table in self.tables):
            return False
        self.joins.pop(part, None)
        self.withdrawn.pop(part, None)
        return True

    def size(self, table):
        return 2 + table.size() + len(self.levels)

    def changes(self, table):
        """The lines that differ, the furthest off first: what has room goes, the rest later."""
        known = [(b, w) for b, w in table.want.items() if b.state == "ready" and (w or b in table.sent)]
        off = {backend: w / table.sent.get(backend, 1e-9) - 1 for backend, w in known}
        moved = [backend for backend in sorted(off, key=lambda b: -abs(off[b])) if abs(off[backend]) > c.MOVE]
        return [(backend, table.want[backend]) for backend in moved]

    def put(self, table, lines):
        self.sets += [i.SetLine(table.handle, backend.handle, w) for backend, w in lines]
        table.put(lines)

    def put_levels(self, table, users, rank):
        for kind, row in self.levels.items():
            if table.levels.get(kind) != row and self.fits(users, 1, rank):
                table.levels[kind] = row
                self.sets.append(i.SetLevel(table.handle, [kind], *row))
