"""A controller without streams: the daemon's frontend, its pump and the list's client as planned calls."""

from embertray.common.snapshots import CONFIRMATION_PERIOD_NS, SNAPSHOT_PERIOD_NS
from embertray.controller.channel.timeouts import PROBE_TIMEOUT_NS
from embertray.controller.core import Desk
from embertray.controller.endpoint_list import EndpointListFollower, UpdateKind


class SimulatedController:
    """One life of a controller: a frontend, with the pump and the list's client as planned calls."""

    def __init__(self, simulation, name, me, life, kept):
        self.simulation, self.name, self.kept, now = simulation, name, kept, simulation.engine.time
        chance = simulation.chance.of("cuts", name, life).random
        snapshot, _ = kept.load()
        self.frontend = Desk(
            simulation.site,
            me,
            simulation.seed * 1000 + life,
            now,
            chance,
            snapshot,
            kept.clock_reading(),
            *simulation.make,
        )
        self.follower, self.line, self.streams = EndpointListFollower(name, chance), None, {}
        self.alive, self.frozen, self.waiting, self.planned, self.ran = (
            True,
            False,
            [],
            None,
            now - simulation.site.tick,
        )
        self.save_at, self.saved = None, now - SNAPSHOT_PERIOD_NS
        self.poke()
        self.plan_save(now + CONFIRMATION_PERIOD_NS)
        if not simulation.site.ask:
            simulation.engine.at(
                now + self.follower.initial_delay(bool(self.frontend.trust.backends)), self.dial_list
            )

    def when_awake(self, what, *args):
        """Now, or when the process goes on; never if it is killed before."""
        if self.frozen:
            self.waiting.append((what, args))
        elif self.alive:
            what(*args)

    def thaw(self):
        self.frozen, waiting, self.waiting = False, self.waiting, []
        for what, args in waiting:
            self.when_awake(what, *args)
        self.poke()

    # ---- the pump

    def poke(self):
        self.plan(self.simulation.engine.time)

    def plan(self, when):
        when = max(when, self.ran + self.simulation.site.tick)
        if self.planned is None or when < self.planned:
            self.planned = when
            self.simulation.engine.at(when, self.pump, when)

    def pump(self, when):
        if self.planned != when or not self.alive:
            return
        self.planned = None
        if self.frozen:
            return
        now = self.ran = self.simulation.engine.time
        step = self.frontend.advance(now)
        if step.change is not None:
            self.simulation.ladder.append((now, self.name, step.change))
        for name, orders in step.leave:
            if name in self.streams:
                self.streams[name].on_orders(self, orders)
        if step.subscribe is not None or step.ask:
            self.ask_list(step.ask)
        if step.relist:
            self.ask_list(True)
        for name, _ in step.cut:
            if name in self.streams:
                self.frontend.admission.record_cut(now, name)
                self.streams[name].break_stream()
        for backend in step.probe:
            model = self.simulation.models.get(backend)
            up = model is not None and model.state != "dead"
            self.simulation.engine.after(
                0 if up else PROBE_TIMEOUT_NS, self.when_awake, self.probed, backend, up
            )
        if (later := self.frontend.next_at()) is not None:
            self.plan(max(later, now))

    def probed(self, backend, answered):
        self.frontend.instance.probed(self.simulation.engine.time, backend, answered)
        self.poke()

    # ---- proxies

    def join(self, proxy, hello):
        """ns to stay away, or None: it has joined."""
        verdict = self.frontend.hello(self.simulation.engine.time, proxy.name)
        if verdict:
            return verdict.retry_after
        if (old := self.streams.get(proxy.name)) is not None and old is not proxy:
            old.break_stream()
        elif old is proxy:
            self.frontend.left(self.simulation.engine.time, proxy.name)
        self.streams[proxy.name] = proxy
        self.frontend.joined(self.simulation.engine.time, hello)
        self.poke()
        return None

    def left(self, proxy):
        if self.streams.get(proxy.name) is proxy:
            del self.streams[proxy.name]
            self.frontend.left(self.simulation.engine.time, proxy.name)
            self.poke()

    def take(self, proxy, session, message):
        if self.streams.get(proxy.name) is proxy and proxy.session is session:
            self.frontend.take(self.simulation.engine.time, session, message)
            self.poke()

    # ---- the list

    def dial_list(self):
        if not self.alive or self.line is not None:
            return
        if self.frozen:
            self.waiting.append((self.dial_list, ()))
        elif self.simulation.inventory.down:
            self.list_broke()
        else:
            self.line = object()
            self.simulation.inventory.followers[self] = False
            self.simulation.inventory.call(self, self.follower.connected(self.simulation.engine.time))

    def list_broke(self):
        self.line = None
        self.simulation.inventory.followers.pop(self, None)
        wait = self.follower.connection_failed()
        if self.simulation.site.ask:  # the module decides when to ask again
            self.frontend.hand_on(self.simulation.engine.time, "failed", [])
            self.poke()
        else:
            self.simulation.engine.at(self.simulation.engine.time + wait, self.dial_list)

    def ask_list(self, whole):
        if self.line is None:
            if self.simulation.site.ask:
                self.dial_list()
        elif call := self.follower.next_request(self.simulation.engine.time, whole):
            self.simulation.inventory.call(self, call)

    def heard(self, message):
        now = self.simulation.engine.time
        update = self.follower.receive(message)
        if update.kind is UpdateKind.GAP:
            self.ask_list(True)
            return
        again = self.frontend.news(now, update.kind, update.epoch, update.inventory_clock, update.entries)
        self.poke()
        if update.kind is not UpdateKind.FAILED:
            self.plan_save(max(now, self.saved + SNAPSHOT_PERIOD_NS))
        if again:
            self.ask_list(True)

    def plan_save(self, when):
        if self.save_at is None or when < self.save_at:
            self.save_at = when
            self.simulation.engine.at(when, self.save, when)

    def save(self, when):
        if self.save_at != when or not self.alive:
            return
        now, self.save_at = self.simulation.engine.time, None
        if self.line is not None and self.frontend.trust.discovery_answered and not self.frozen:
            self.kept.save(self.frontend.snapshot(now, self.kept.clock_reading()))
            self.saved = now
        self.plan_save(now + CONFIRMATION_PERIOD_NS)
