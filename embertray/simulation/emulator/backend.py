"""A backend without streams: tries come and end as planned calls."""


class SimulatedBackend:
    """model.Backend with the connections that proxies have to it."""

    def __init__(self, simulation, model, draw):
        self.simulation, self.model, self.draw = simulation, model, draw
        self.links, self.out, self.bad_for, self.planned = {}, {}, set(), None

    def on_request(self, proxy, under, attempt, kind, work, until):
        """A try has come here; its end goes back to `px.ended`."""
        now, model = self.simulation.engine.time, self.model
        if proxy not in self.links:
            if model.state == "dead" or model.state == "up" and not model.connect(now):
                proxy.ended(under, attempt, "broken", {})
                return
            self.links[proxy] = None
        self.out[under] = proxy, attempt
        if model.state != "up":
            return
        if proxy.name in self.bad_for:
            self.end(under, attempt, "error", {})
            return
        outcome = model.offer(now, (under, attempt), kind, work, until, self.draw())
        if outcome:
            self.end(under, attempt, outcome, model.report(now))
        self.plan()

    def plan(self):
        when = self.model.next_at()
        if when is not None and (self.planned is None or when < self.planned):
            self.planned = when
            self.simulation.engine.at(max(when, self.simulation.engine.time), self.due, when)

    def due(self, when):
        if self.planned != when:
            return
        self.planned, now = None, self.simulation.engine.time
        for under, attempt in self.model.advance(now):
            self.end(under, attempt, "done", self.model.report(now))
        self.plan()

    def end(self, under, attempt, outcome, load):
        found = self.out.get(under)
        if found is None or found[1] != attempt:
            return
        proxy = self.out.pop(under)[0]
        way = self.simulation.between(proxy.zone, self.model.zone)
        if way:
            self.simulation.engine.after(way, proxy.ended, under, attempt, outcome, load)
        else:
            proxy.ended(under, attempt, outcome, load)

    def cancel(self, under):
        self.out.pop(under, None)

    def break_links(self):
        self.links.clear()
        out, self.out = self.out, {}
        for under, (proxy, attempt) in out.items():
            proxy.ended(under, attempt, "broken", {})

    def die(self, silent=False):
        self.model.die(silent)
        self.planned = None
        if not silent:
            self.break_links()

    def start(self, cold=True):
        self.model.start(self.simulation.engine.time, cold)
        self.planned = None
        self.break_links()
