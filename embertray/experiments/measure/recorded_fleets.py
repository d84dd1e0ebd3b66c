"""Fleets whose events `recorded` records: a crowd that joins at once, and fleets under random faults."""

import random

from embertray.policy import interface as i

MS = 10**6  # ns
S = 10**9  # ns


def run_crowd(make_module, backends=100, proxies=400):
    """Runs a fleet whose proxies all join within 4 s, during a replacement of backends, for 30 s."""
    from embertray.simulation.standins.fleet import Fleet

    fleet = Fleet(make_module, backends, proxies)
    fleet.run(11 * S)
    kinds = fleet.deployment.kinds
    for second in range(30):
        if second < 4:
            fleet.join(
                fleet.proxies[second::4], lambda proxy: fleet.backends[proxy.external_id % 5 * 20 :][:20]
            )
        if second in (3, 5, 7):
            fleet.change_list("changes", fleet.backends[second * 10 - 30 :][:20], "draining")
            new = [i.Backend(f"be-{1000 + second * 20 + k}") for k in range(20)]
            fleet.change_list("changes", new, "ready", fleet.now)
        for n, backend in enumerate(fleet.backends[second % 2 :: 2]):
            failures = 9 if n % 11 == 0 and second > 12 else 0
            slow = (250 + 40 * (n % 7) + (600 if 15 < second < 24 else 0)) * MS
            fleet.pending_events.append(
                i.BackendReport(backend, fleet.zones[n % 2], 10, failures, slow, 2 * S, {"waiting": n % 5})
            )
        for proxy in fleet.proxies[second % 4 :: 4]:
            fleet.pending_events.append(
                i.ArrivalReport(proxy, kinds[proxy.external_id % 2], 2 + proxy.external_id % 3, 0, 2 * S)
            )
        fleet.run(fleet.now + S)


RANDOM_SETTINGS = (  # settings for decisions that the scripted days do not exercise
    {"throttle": "rate", "pick": "weighted", "cross_zone_cost": 0.0},
    {"throttle": "share", "ask": True, "messages_max": 0},
    {"throttle": "rate", "channel_rate": 60.0, "pending_max": 480.0, "messages_max": 6},
    {"throttle": "share", "controllers": 1, "channel_rate": 120.0, "pending_max": 900.0},
    {"throttle": "none", "ask": True, "pending_max": 10.0**6, "channel_rate": 10.0**6, "drain_grace": 0},
)
PROXIES = 60
DURATION_S = 110  # longer than departed proxies are remembered


class _RandomFaultDay:
    """A small fleet under settings and faults drawn from a seed.

    The faults: releases with cold successors; backends that fail, hang and recover; a lost zone; bursts;
    proxies that leave, come back or do not answer; and endpoint lists that fail, come whole or hold
    changes only.
    """

    def __init__(self, make_module, seed):
        from embertray.simulation.standins.fleet import Fleet

        self.rng = random.Random(seed)
        settings = RANDOM_SETTINGS[seed % len(RANDOM_SETTINGS)]
        self.faults, self.departed, self.silent = {}, set(), set()
        silent = self.silent

        class LossyFleet(Fleet):
            """Loses the acknowledgements of silent proxies."""

            def deliver(self):
                super().deliver()
                self.pending_events = [
                    event
                    for event in self.pending_events
                    if not (isinstance(event, i.NonceAcknowledged) and event.proxy in silent)
                ]

        zones = self.rng.randint(2, 3)
        self.fleet = LossyFleet(make_module, self.rng.randint(10, 24), PROXIES, zones=zones, **settings)
        self.burst = 1.0
        self.made_backends = len(self.fleet.backends)

    def play(self):
        fleet = self.fleet
        fleet.run(10 * S + 500 * MS, 250 * MS)
        fleet.join(fleet.proxies, lambda proxy: fleet.backends[:5])
        for second in range(DURATION_S):
            if second > 6:
                self.draw_event()
            self.report()
            fleet.run(fleet.now + S, 250 * MS)

    def draw_event(self):
        rng = self.rng
        event = rng.choices(
            ("none", "fault", "recover", "release", "return", "zone", "burst", "proxies", "silence", "list"),
            (4, 4, 3, 3, 2, 1, 2, 2, 2, 3),
        )[0]
        getattr(self, "draw_" + event, lambda: None)()

    def ready(self):
        return [backend for backend in self.fleet.backends if self.fleet.backend_states[backend] == "ready"]

    def draw_fault(self):
        ready, count = self.ready(), self.rng.choice((2, 3, 3, 100))
        for backend in self.rng.sample(ready, min(count, len(ready))):
            every = count > len(ready)
            self.faults[backend] = "fails" if every else self.rng.choice(("fails", "slow", "silent", "busy"))

    def draw_recover(self):
        for backend in list(self.faults)[:4]:
            del self.faults[backend]

    def draw_release(self):
        fleet, count = self.fleet, self.rng.randint(1, 5)
        ready = self.ready()
        if len(ready) > 6:
            fleet.change_list("changes", ready[:count], self.rng.choice(("draining", "gone")))
        new = [i.Backend(f"be-{self.made_backends + k}") for k in range(count)]
        self.made_backends += count
        fleet.backends = [*fleet.backends, *new]
        fleet.change_list("changes", new, "ready", fleet.now)

    def draw_return(self):
        """Lists up to three backends that were draining or gone as ready again, cold."""
        gone = [backend for backend, state in self.fleet.backend_states.items() if state != "ready"]
        self.fleet.change_list("changes", gone[-3:], "ready", self.fleet.now)

    def draw_zone(self):
        fleet = self.fleet
        lost = [backend for backend in self.ready() if int(backend.external_id[3:]) % len(fleet.zones) == 0]
        if len(lost) < len(self.ready()):
            fleet.change_list("changes", lost, "gone")

    def draw_burst(self):
        self.burst = self.rng.choice((0.3, 1.0, 1.0, 2.5, 5.0))

    def draw_proxies(self):
        fleet, rng = self.fleet, self.rng
        count = rng.choice((5, 40))
        if count > 5:  # so that backends are removed while many proxies are not bound yet
            self.draw_release()
        for proxy in rng.sample(fleet.proxies, count):
            if proxy in self.departed:
                self.departed.discard(proxy)
                fleet.join([proxy], lambda _: self.ready()[:5])
            else:
                self.departed.add(proxy)
                fleet.bound.pop(proxy, None)
                fleet.lines.pop(proxy, None)
                fleet.joined_at.pop(proxy, None)
                fleet.pending_events.append(i.ProxyLeft(proxy))

    def draw_silence(self):
        """Chooses proxies that leave their nonces unacknowledged for a while."""
        self.silent.clear()
        self.silent.update(self.rng.sample(self.fleet.proxies, self.rng.choice((0, 3, 10))))

    def draw_list(self):
        fleet, update_kind = self.fleet, self.rng.choice(("failed", "failed", "whole", "cached"))
        if update_kind == "failed":
            fleet.pending_events.append(i.EndpointListUpdate("failed"))
        else:
            fleet.change_list(update_kind, self.ready(), "ready")

    def report(self):
        fleet, rng = self.fleet, self.rng
        load = ("busy", "waiting", "held")[fleet.deployment.controllers % 3]
        for number, backend in enumerate(self.ready()):
            fault = self.faults.get(backend)
            if fault == "silent" or rng.random() < 0.2:
                continue
            tries = max(1, int(12 * self.burst))
            failed = int(tries * 0.8) if fault == "fails" else int(rng.random() < 0.1)
            slow = 900 * MS if fault == "slow" else 120 * MS * (1 + number % 4)
            latency = int(slow * max(1.0, self.burst) * (0.8 + 0.4 * rng.random()))
            reported_load = {load: (9.0 if fault == "busy" else 0.2 + 0.3 * self.burst * rng.random())}
            zone = rng.choice(fleet.zones)
            fleet.pending_events.append(
                i.BackendReport(backend, zone, tries, failed, latency, 2 * S, reported_load)
            )
        for proxy in fleet.proxies:
            if proxy not in self.departed and rng.random() < 0.5:
                kind = rng.choice(fleet.deployment.kinds)
                count = max(1, int(rng.choice((1, 2, 4)) * self.burst))
                fleet.pending_events.append(i.ArrivalReport(proxy, kind, count, 0, 2 * S))


def run_random_faults(make_module, seed):
    """Runs a small fleet under the settings and faults drawn from the seed."""
    _RandomFaultDay(make_module, seed).play()
