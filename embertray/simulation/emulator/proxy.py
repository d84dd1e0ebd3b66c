"""A proxy without streams: what it is told, reports, sends and hears are planned calls."""

from embertray.controller.stream.messages import Acknowledgement, Hello
from embertray.simulation.models.proxy import Proxy, StandsStill
from embertray.simulation.standins.messages import Req
from embertray.simulation.standins.proxy import REDIAL


class SimulatedProxy(StandsStill):
    """model.Proxy with its stream to a controller."""

    def __init__(self, simulation, name, zone, rate, rng, standing, way):
        self.simulation, self.name, self.zone, self.rate, self.rng, self.way = (
            simulation,
            name,
            zone,
            rate,
            rng,
            way,
        )
        self.model, self.first, self.fresh = Proxy(simulation.site, rng, standing), list(standing), True
        self.controller = self.session = None
        self.home = self.at = self.tries = self.lag = self.last_due = 0
        self.wait, self.still, self.cut_off, self.reading = REDIAL[0], False, False, True
        self.held_back, self.unread, self.bad = [], [], set()

    # ---- its stream

    def start(self):
        self.at = self.home
        self.model.joined(self.simulation.engine.time)
        self.simulation.engine.after(self.simulation.site.report_cycle, self.report)
        self.dial()

    def dial(self):
        asked, names = 0, list(self.simulation.held.at)
        name = names[self.at % len(names)]
        controller = self.simulation.held.running.get(name)
        if controller is not None and not self.cut_off:
            if controller.frozen:
                controller.waiting.append((self.dial_at, (controller,)))
                return
            asked = controller.join(self, Hello(1, self.name, self.zone, self.rate, self.fresh))
            if asked is None:
                self.on_joined(controller)
                return
        self.redial(asked)

    def dial_at(self, controller):
        """A controller that stood still when we dialled takes us in now."""
        self.dial()

    def redial(self, asked=0):
        self.at += 1
        self.tries += 1
        pause = max(asked, int(self.wait * (0.5 + self.rng.random())))
        if self.tries % len(self.simulation.held.at) == 0:
            self.wait = min(REDIAL[1], self.wait * 2)
        self.simulation.engine.at(self.simulation.engine.time + pause, self.dial)

    def on_joined(self, controller):
        now = self.simulation.engine.time
        self.controller, self.session = controller, Hello(1, self.name, self.zone, self.rate, self.fresh)
        self.fresh, self.wait, self.tries = False, REDIAL[0], 0
        self.model.joined(now)
        self.simulation.eyes.joined(now, self.name, controller.name)

    def break_stream(self):
        controller, self.controller, self.session = self.controller, None, None
        if controller is None:
            return
        self.model.left()
        self.simulation.eyes.left(self.simulation.engine.time, self.name)
        controller.when_awake(controller.left, self)
        self.unread.clear()
        self.redial()

    @property
    def deaf(self):
        return not self.reading

    @deaf.setter
    def deaf(self, is_deaf):
        self.reading, unread, self.unread = not is_deaf, self.unread, []
        for controller, orders in unread:
            self.take(controller, orders)

    def on_orders(self, controller, orders):
        """They have come to its socket; one that does not read finds them there later."""
        if controller is self.controller:
            self.simulation.eyes.orders(self.simulation.engine.time, self.name, orders)
            self.take(controller, orders)

    def take(self, controller, orders):
        if controller is not self.controller:
            return
        if not self.reading:
            self.unread.append((controller, orders))
            return
        now = self.simulation.engine.time
        self.last_due = max(self.last_due + 1, now + self.way())
        self.simulation.engine.at(self.last_due, self.apply, self.session, orders)

    def apply(self, session, orders):
        if session is not self.session:  # the stream broke while it was under way
            return
        if self.still:
            self.held_back.append((self.apply, session, orders))
            return
        self.model.apply(orders)
        self.simulation.eyes.applied(self.simulation.engine.time, self.name, orders)
        if orders.nonce is not None:
            self.say(session, Acknowledgement(orders.nonce))

    def say(self, session, message):
        if session is self.session and session is not None:
            self.controller.when_awake(self.controller.take, self, session, message)

    def report(self):
        now = self.simulation.engine.time
        sums = self.model.sums(now)
        if self.session is not None and not self.still:
            if self.lag:
                self.simulation.engine.at(now + self.lag, self.say, self.session, sums)
            else:
                self.say(self.session, sums)
        self.simulation.engine.after(self.simulation.site.report_cycle, self.report)

    # ---- reqs

    def on_request(self, req, back):
        if self.still:
            self.held_back.append((self.on_request, req, back))
            return
        under = self.model.arrive(self.simulation.engine.time, req, back)
        if under is None:
            back(req, "denied", self.model.wait_of(req.kind))
        else:
            self.attempt(under)

    def attempt(self, under):
        engine = self.simulation.engine
        outcome = self.model.attempt(engine.time, under)
        if outcome:
            under.back(under.req, outcome)
            return
        under.timer = engine.after(under.within, self.timed_out, under, under.attempt)
        req, backend = under.req, self.simulation.by_name[under.backend]
        if self.simulation.watched:
            self.simulation.eyes.sent(
                engine.time,
                self.name,
                under.backend,
                Req(
                    under.attempt,
                    req.kind,
                    req.work,
                    max(1, under.until - engine.time),
                    len(under.tried),
                    self.name,
                ),
                (req.ident, req.attempt),
            )
        if under.backend in self.bad:
            self.ended(under, under.attempt, "refused", {})
            return
        way = self.simulation.between(self.zone, backend.model.zone)
        if way:
            engine.after(way, backend.on_request, self, under, under.attempt, req.kind, req.work, under.until)
        else:
            backend.on_request(self, under, under.attempt, req.kind, req.work, under.until)

    def timed_out(self, under, attempt):
        if under.attempt == attempt and under.backend is not None:
            self.simulation.by_name[under.backend].cancel(under)
            self.ended(under, attempt, "timeout", {})

    def ended(self, under, attempt, outcome, load):
        now, name = self.simulation.engine.time, under.backend
        verdict = self.model.ended(now, under, attempt, outcome, load)
        if verdict is None:
            return
        under.timer.cancel()
        if outcome != "done" and self.simulation.watched:
            self.simulation.eyes.failed(now, self.name, name, (under.req.ident, under.req.attempt), outcome)
        if verdict == "again":
            self.attempt(under)
        else:
            under.back(under.req, verdict)
