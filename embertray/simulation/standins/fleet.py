"""The relay's channel and a fleet behind it, without streams: paced, in order, one message a proxy. For one
decision module, which is handed in: a stand-in knows no controller."""

from collections import defaultdict, deque

from embertray.policy import interface as i

MS, S = 10**6, 10**9


class Fleet:
    """`controller(seed, deployment, now)` makes the module. Proxies apply messages and answer nonces; bound
    ones hold their table's lines, loose ones what they brought. `late`: (proxy, backend) still held past the
    grace; `bare`: ns without any line; `written`: when each proxy's messages left the channel; `most`: lines
    that waited there."""

    def __init__(self, controller, backends, proxies, zones=2, seed=1, **site):
        self.zones = [i.Zone(f"zone-{k}") for k in range(zones)]
        self.backends = [i.Backend(f"be-{k}") for k in range(backends)]
        self.proxies = [i.Proxy(k) for k in range(proxies)]
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
        self.list("cached", self.backends, "ready")

    def list(self, how, backends, state, started=0):
        entries = [
            i.Entry(backend, self.zones[int(backend.external_id[3:]) % len(self.zones)], state, started)
            for backend in backends
        ]
        self.state.update((backend, state) for backend in backends)
        self.told.update(
            (backend, self.now) for backend in backends if state != "ready" and backend not in self.told
        )
        self.todo.append(i.ListNews(how, entries))

    def join(self, proxies, holds):
        for proxy in proxies:
            self.held[proxy], self.since[proxy] = dict.fromkeys(holds(proxy), 1.0), self.now
            self.todo.append(i.Joined(proxy, self.zones[proxy.external_id % len(self.zones)], 1.0, True))

    def run(self, until, beat=100 * MS):
        while self.now < until:
            self.now += beat
            self.deliver()
            todo, self.todo = self.todo, []
            self.send(self.module.step(self.now, todo))
            self.judge()

    def deliver(self):
        while self.channel and self.channel[0][0] <= self.now:
            _, proxy, change, nonce, sent = self.channel.popleft()
            for backend, weight in change.items():
                if backend is None:
                    self.held[proxy] = dict(weight)
                elif weight:
                    self.held[proxy][backend] = weight
                else:
                    self.held[proxy].pop(backend, None)
            if nonce:
                self.todo.append(i.Answered(proxy, nonce, self.now - sent))

    def send(self, orders):
        """Orders of a step become one message a proxy; they leave the channel at its pace, in order."""
        messages, cost, nonce = defaultdict(dict), defaultdict(float), None
        users = defaultdict(list)
        for proxy, table in self.bound.items():
            users[table].append(proxy)
        for one in orders:
            if isinstance(one, (i.SetLine, i.SetLevel)):
                for proxy in users[one.table]:
                    cost[proxy] += 1
                    if isinstance(one, i.SetLine):
                        messages[proxy][one.backend] = one.weight
                if isinstance(one, i.SetLine):
                    self.tables[one.table][one.backend] = one.weight
            elif isinstance(one, i.Bind):
                self.bound[one.proxy] = one.table
                lines = {backend: w for backend, w in self.tables[one.table].items() if w}
                messages[one.proxy], cost[one.proxy] = {None: lines}, 3 + len(lines)
            elif isinstance(one, i.Withdraw):
                for proxy in self.since:
                    if self.held[proxy].get(one.backend):
                        messages[proxy][one.backend], cost[proxy] = 0, cost[proxy] + 1
            elif isinstance(one, i.PutNonce):
                nonce = one.nonce
        for proxy in cost:
            self.free_at = max(self.free_at, self.now) + int(
                (cost[proxy] + self.site.head + 1) * S / self.site.channel_rate
            )
            self.written[proxy].append(self.free_at)
            self.channel.append((self.free_at + self.site.way_mean, proxy, messages[proxy], nonce, self.now))
        self.most = max(self.most, (self.free_at - self.now) * self.site.channel_rate / S)

    def judge(self):
        grace = self.site.drain_grace + 300 * MS
        for proxy, since in self.since.items():
            gone = [backend for backend in self.held[proxy] if backend in self.told]
            for backend in gone:
                if self.now > max(self.told[backend], since) + grace:
                    self.late[proxy, backend] = self.now
            if len(gone) == len(self.held[proxy]):
                self.bare[proxy] = self.bare.get(proxy, 0) + 100 * MS
