"""The clients of a proxy without streams."""

from embertray.simulation.standins.messages import Req


class SimulatedClients:
    """model.Clients of one proxy."""

    def __init__(self, simulation, model, source, proxy, rng, until):
        self.simulation, self.model, self.source, self.proxy, self.rng, self.until = (
            simulation,
            model,
            source,
            proxy,
            rng,
            until,
        )

    def plan(self):
        when, kind, work = self.source.next(self.simulation.engine.time, self.rng, self.until)
        if when is not None:
            self.simulation.engine.at(when, self.send, kind, work)

    def send(self, kind, work):
        now, model = self.simulation.engine.time, self.model
        self.put(model.draw(now) if kind is None else model.ask(now, model.kinds[kind], work))
        self.plan()

    def put(self, ask):
        engine = self.simulation.engine
        within = self.model.attempt(engine.time, ask)
        if within is None:
            self.simulation.eyes.ended(engine.time, ask.at, ask.kind, "lost", 0)
            return
        ask.timer = engine.after(within, self.heard, ask.ident, ask.tries, "timeout")
        self.proxy.on_request(Req(ask.ident, ask.kind.external_id, ask.work, within, ask.tries), self.back)

    def back(self, req, outcome, stay=0):
        self.heard(req.ident, req.attempt, outcome, stay)

    def heard(self, ident, tries, outcome, stay=0):
        engine = self.simulation.engine
        found = self.model.heard(engine.time, ident, tries, outcome, stay)
        if found is None:
            return
        ask, verdict, took = found
        ask.timer.cancel()
        if verdict == "again":
            engine.at(engine.time + took, self.put, ask)
        else:
            self.simulation.eyes.ended(engine.time, ask.at, ask.kind, verdict, took)
