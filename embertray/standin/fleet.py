"""The relay's channel and a fleet behind it, without streams: paced, in order, one message a proxy. For one
decision module, which is handed in: a stand-in knows no controller."""

from collections import defaultdict, deque

from .. import interface as i

MS, S = 10**6, 10**9


class Fleet:
    """`controller(seed, deployment, now)` makes the module. Proxies apply messages and answer nonces; bound
    ones hold their table's lines, loose ones what they brought. `late`: (proxy, backend) still held past the
    grace; `bare`: ns without any line; `written`: when each proxy's messages left the channel; `most`: lines
    that waited there."""

    def __init__(self, controller, backends, proxies, zones=2, seed=1, **site):
        self.zones = [i.Zone(f"zone-{k}") for k in range(zones)]
        self.bes = [i.Backend(f"be-{k}") for k in range(backends)]
        self.pxs = [i.Proxy(k) for k in range(proxies)]
        kinds = [i.RequestKind(800 * MS, 2 * S), i.RequestKind(S, 3 * S, 2.0, "non-replayable")]
        given = (
            dict(
                controllers=5,
                proxies=proxies,
                throttle="share",
                pick="two",
                bare_limit=15 * S,
                head=6.0,
                way_mean=180 * MS,
                channel_rate=3 * proxies,
                pending_max=24 * proxies,
                way_max=450 * MS,
                messages_max=20,
                messages_window=10 * S,
                report_cycle=2 * S,
                cold_from=0.2,
                warm_after=10 * S,
                fall_multiple=4.0,
                fall_after=3 * S,
                drain_grace=9500 * MS,
                cross_fee=0.01,
            )
            | site
        )
        self.site, self.now, self.todo, self.channel = (
            i.Deployment(kinds, self.zones, **given),
            10 * S,
            [],
            deque(),
        )
        self.module = controller(seed, self.site, self.now)
        self.state, self.told, self.held, self.bound, self.since = {}, {}, defaultdict(dict), {}, {}
        self.tables, self.free_at, self.most, self.late, self.bare = defaultdict(dict), 0, 0.0, {}, {}
        self.written = defaultdict(list)
        self.list("cached", self.bes, "ready")

    def list(self, how, bes, state, started=0):
        entries = [
            i.Entry(be, self.zones[int(be.external_id[3:]) % len(self.zones)], state, started) for be in bes
        ]
        self.state.update((be, state) for be in bes)
        self.told.update((be, self.now) for be in bes if state != "ready" and be not in self.told)
        self.todo.append(i.ListNews(how, entries))

    def join(self, pxs, holds):
        for px in pxs:
            self.held[px], self.since[px] = dict.fromkeys(holds(px), 1.0), self.now
            self.todo.append(i.Joined(px, self.zones[px.external_id % len(self.zones)], 1.0, True))

    def run(self, until, beat=100 * MS):
        while self.now < until:
            self.now += beat
            self.deliver()
            todo, self.todo = self.todo, []
            self.send(self.module.step(self.now, todo))
            self.judge()

    def deliver(self):
        while self.channel and self.channel[0][0] <= self.now:
            _, px, change, nonce, sent = self.channel.popleft()
            for be, weight in change.items():
                if be is None:
                    self.held[px] = dict(weight)
                elif weight:
                    self.held[px][be] = weight
                else:
                    self.held[px].pop(be, None)
            if nonce:
                self.todo.append(i.Answered(px, nonce, self.now - sent))

    def send(self, orders):
        """Orders of a step become one message a proxy; they leave the channel at its pace, in order."""
        messages, cost, nonce = defaultdict(dict), defaultdict(float), None
        users = defaultdict(list)
        for px, table in self.bound.items():
            users[table].append(px)
        for one in orders:
            if isinstance(one, (i.SetLine, i.SetLevel)):
                for px in users[one.table]:
                    cost[px] += 1
                    if isinstance(one, i.SetLine):
                        messages[px][one.backend] = one.weight
                if isinstance(one, i.SetLine):
                    self.tables[one.table][one.backend] = one.weight
            elif isinstance(one, i.Bind):
                self.bound[one.proxy] = one.table
                lines = {be: w for be, w in self.tables[one.table].items() if w}
                messages[one.proxy], cost[one.proxy] = {None: lines}, 3 + len(lines)
            elif isinstance(one, i.Withdraw):
                for px in self.since:
                    if self.held[px].get(one.backend):
                        messages[px][one.backend], cost[px] = 0, cost[px] + 1
            elif isinstance(one, i.PutNonce):
                nonce = one.nonce
        for px in cost:
            self.free_at = max(self.free_at, self.now) + int(
                (cost[px] + self.site.head + 1) * S / self.site.channel_rate
            )
            self.written[px].append(self.free_at)
            self.channel.append((self.free_at + self.site.way_mean, px, messages[px], nonce, self.now))
        self.most = max(self.most, (self.free_at - self.now) * self.site.channel_rate / S)

    def judge(self):
        grace = self.site.drain_grace + 300 * MS
        for px, since in self.since.items():
            gone = [be for be in self.held[px] if be in self.told]
            for be in gone:
                if self.now > max(self.told[be], since) + grace:
                    self.late[px, be] = self.now
            if len(gone) == len(self.held[px]):
                self.bare[px] = self.bare.get(px, 0) + 100 * MS
