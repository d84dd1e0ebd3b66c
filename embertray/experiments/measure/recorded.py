"""Streams of events as modules were given them, to be played again.

A change that must decide nothing else gives the same orders, byte for byte:
`python -m embertray.experiments.measure.recorded record NAME --out FILE` records, where NAME is a day (played
without streams), `crowd` (a fleet of hundreds that all joins at once) or `drawn-SEED` (a fleet under faults
that the seed draws); `... orders FILE` prints all orders, `... check FILE` holds their digest against the
recorded one. A file is zstandard of JSON rows, one for each step.
"""

import dataclasses
import hashlib
import random
import sys
from pathlib import Path
from unittest import mock

import click
import msgspec
import zstandard

from embertray.policy import Controller, interface as i

# types and fields of the interface as the recorded files name them: written before they were renamed
RECORDED_TYPES = {
    "BackendReport": "Heard",
    "ArrivalReport": "Arrivals",
    "ProxyJoined": "Joined",
    "ProxyLeft": "Left",
    "EndpointListUpdate": "ListNews",
    "Endpoint": "Entry",
    "NonceAcknowledged": "Answered",
    "TimerFired": "WakeDue",
    "SetTimer": "Wake",
    "RequestAcknowledgement": "PutNonce",
    "SetAdmission": "SetLevel",
    "ProbeResult": "ProbeDone",
    "PeerMessage": "PeerNote",
    "SliceAssigned": "SliceGiven",
    "PollEndpointList": "AskList",
}
RECORDED_FIELDS = {
    "channel_delay_mean": "way_mean",
    "channel_delay_max": "way_max",
    "cold_speed": "cold_from",
    "warm_up_time": "warm_after",
    "overload_multiple": "fall_multiple",
    "overload_time": "fall_after",
    "cross_zone_cost": "cross_fee",
    "no_backend_limit": "bare_limit",
    "omission_removes": "drops_bind",
    "report_interval": "report_cycle",
}
FIELDS = {recorded: field for field, recorded in RECORDED_FIELDS.items()}


def recorded_name(kind):
    """The name of a type of the interface in recorded files."""
    return RECORDED_TYPES.get(kind.__name__, kind.__name__)


KINDS = {recorded_name(kind): kind for kind in vars(i).values() if isinstance(kind, type)}
MS, S = 10**6, 10**9


class Names:
    """Objects to rows and back. A handle is its type and a number: the order in which it was first met."""

    def __init__(self):
        self.numbers, self.things, self.counts = {}, {}, {}

    def row(self, thing):
        if isinstance(thing, (i.Handle, i.RequestKind)):
            if thing not in self.numbers:
                name = type(thing).__name__
                self.counts[name] = n = self.counts.get(name, 0) + 1
                self.numbers[thing] = [name, n]
                self.things[name, n] = thing
            return {"at": self.numbers[thing]}
        if dataclasses.is_dataclass(thing):
            return {"of": recorded_name(type(thing))} | {
                RECORDED_FIELDS.get(field.name, field.name): self.row(getattr(thing, field.name))
                for field in dataclasses.fields(thing)
            }
        if isinstance(thing, (list, tuple)):
            return [self.row(one) for one in thing]
        return thing

    def thing(self, row):
        if isinstance(row, list):
            return [self.thing(one) for one in row]
        if isinstance(row, dict) and "at" in row:
            name, n = row["at"]
            if (name, n) not in self.things:
                self.things[name, n] = made = KINDS[name]()
                self.numbers[made] = row["at"]
                self.counts[name] = max(n, self.counts.get(name, 0))
            return self.things[name, n]
        if isinstance(row, dict) and "of" in row:
            fields = {FIELDS.get(key, key): self.thing(value) for key, value in row.items() if key != "of"}
            return KINDS[row["of"]](**fields)
        return row

    def start(self, seed, site, now):
        """A start's row; request kinds stand there whole, later by number."""
        kinds = [
            [kind.latency_objective, kind.client_timeout, kind.credit, kind.again, kind.group]
            for kind in site.kinds
        ]
        return {"seed": seed, "now": now, "kinds": kinds, "site": self.row(site)}

    def begin(self, row):
        for n, kind in enumerate(row["kinds"], 1):
            self.things["RequestKind", n] = made = i.RequestKind(*kind)
            self.numbers[made], self.counts["RequestKind"] = ["RequestKind", n], n
        return row["seed"], self.thing(row["site"]), row["now"]


class Recorder:
    """Stands where the module is made: each one made gets a list of rows."""

    def __init__(self, made=Controller):
        self.made, self.streams = made, []

    def __call__(self, seed, site, now=0):
        names, rows, module = Names(), [], self.made(seed, site, now)
        rows.append(names.start(seed, site, now))
        self.streams.append(rows)
        step = module.step

        def recorded(now, events):
            rows.append([now, names.row(events)])
            orders = step(now, events)
            names.row(orders)  # numbers its tables and nonces
            return orders

        module.step = recorded
        return module


def orders(rows, made=Controller, with_logs=True):
    """What a module of today orders when it is given the recorded events: lines of text.

    Args:
        rows: a recorded stream.
        made: makes the module.
        with_logs: whether log orders are among them.
    """
    names = Names()
    module = made(*names.begin(rows[0]))
    for now, events in rows[1:]:
        given = [names.thing(event) for event in events]
        ordered = module.step(now, given)
        if not with_logs:
            ordered = [order for order in ordered if not isinstance(order, i.Log)]
        yield msgspec.json.encode([now, names.row(ordered)])


def digest(rows, made=Controller):
    """The digest of all orders but log lines, whose texts decide nothing."""
    return hashlib.sha256(b"\n".join(orders(rows, made, with_logs=False))).hexdigest()


def crowd(made, backends=100, proxies=400):
    """All proxies come at once in the middle of a replacement, with sums of what they meet; then 30 s of
    it.
    """
    from embertray.simulation.standins.fleet import Fleet

    fleet = Fleet(made, backends, proxies)
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
            bad = 9 if n % 11 == 0 and second > 12 else 0
            slow = (250 + 40 * (n % 7) + (600 if 15 < second < 24 else 0)) * MS
            fleet.pending_events.append(
                i.BackendReport(backend, fleet.zones[n % 2], 10, bad, slow, 2 * S, {"waiting": n % 5})
            )
        for proxy in fleet.proxies[second % 4 :: 4]:
            fleet.pending_events.append(
                i.ArrivalReport(proxy, kinds[proxy.external_id % 2], 2 + proxy.external_id % 3, 0, 2 * S)
            )
        fleet.run(fleet.now + S)


DRAWN_SITES = (  # settings that lead to decisions which the scripted days do not reach
    {"throttle": "rate", "pick": "weighted", "cross_zone_cost": 0.0},
    {"throttle": "share", "ask": True, "messages_max": 0},
    {"throttle": "rate", "channel_rate": 60.0, "pending_max": 480.0, "messages_max": 6},
    {"throttle": "share", "controllers": 1, "channel_rate": 120.0, "pending_max": 900.0},
    {"throttle": "none", "ask": True, "pending_max": 10.0**6, "channel_rate": 10.0**6, "drain_grace": 0},
)
DRAWN_PROXIES = 60
DRAWN_SECONDS = 110  # past the time after which those that left are forgotten


class _DrawnDay:
    """A small fleet under settings and faults that a seed draws: releases with cold successors, backends that
    fail, hang and recover, a lost zone, bursts, proxies that leave, come back or do not answer, and lists
    that fail, come whole or name changes only.
    """

    def __init__(self, made, seed):
        from embertray.simulation.standins.fleet import Fleet

        self.chance = random.Random(seed)
        given = DRAWN_SITES[seed % len(DRAWN_SITES)]
        self.faults, self.away, self.silent = {}, set(), set()
        silent = self.silent

        class LossyFleet(Fleet):
            """Answers of silent proxies are lost."""

            def deliver(self):
                super().deliver()
                self.pending_events = [
                    event
                    for event in self.pending_events
                    if not (isinstance(event, i.NonceAcknowledged) and event.proxy in silent)
                ]

        zones = self.chance.randint(2, 3)
        self.fleet = LossyFleet(made, self.chance.randint(10, 24), DRAWN_PROXIES, zones=zones, **given)
        self.burst = 1.0
        self.made_backends = len(self.fleet.backends)

    def play(self):
        fleet = self.fleet
        fleet.run(10 * S + 500 * MS, 250 * MS)
        fleet.join(fleet.proxies, lambda proxy: fleet.backends[:5])
        for second in range(DRAWN_SECONDS):
            if second > 6:
                self.draw_event()
            self.report()
            fleet.run(fleet.now + S, 250 * MS)

    def draw_event(self):
        chance = self.chance
        event = chance.choices(
            ("none", "fault", "recover", "release", "return", "zone", "burst", "proxies", "silence", "list"),
            (4, 4, 3, 3, 2, 1, 2, 2, 2, 3),
        )[0]
        getattr(self, "draw_" + event, lambda: None)()

    def ready(self):
        return [backend for backend in self.fleet.backends if self.fleet.backend_states[backend] == "ready"]

    def draw_fault(self):
        ready, count = self.ready(), self.chance.choice((2, 3, 3, 100))
        for backend in self.chance.sample(ready, min(count, len(ready))):
            every = count > len(ready)
            self.faults[backend] = (
                "fails" if every else self.chance.choice(("fails", "slow", "silent", "busy"))
            )

    def draw_recover(self):
        for backend in list(self.faults)[:4]:
            del self.faults[backend]

    def draw_release(self):
        fleet, count = self.fleet, self.chance.randint(1, 5)
        ready = self.ready()
        if len(ready) > 6:
            fleet.change_list("changes", ready[:count], self.chance.choice(("draining", "gone")))
        new = [i.Backend(f"be-{self.made_backends + k}") for k in range(count)]
        self.made_backends += count
        fleet.backends = [*fleet.backends, *new]
        fleet.change_list("changes", new, "ready", fleet.now)

    def draw_return(self):
        """All that left lately are back, cold."""
        gone = [backend for backend, state in self.fleet.backend_states.items() if state != "ready"]
        self.fleet.change_list("changes", gone[-3:], "ready", self.fleet.now)

    def draw_zone(self):
        fleet = self.fleet
        lost = [backend for backend in self.ready() if int(backend.external_id[3:]) % len(fleet.zones) == 0]
        if len(lost) < len(self.ready()):
            fleet.change_list("changes", lost, "gone")

    def draw_burst(self):
        self.burst = self.chance.choice((0.3, 1.0, 1.0, 2.5, 5.0))

    def draw_proxies(self):
        fleet, chance = self.fleet, self.chance
        count = chance.choice((5, 40))
        if count > 5:  # removals while many are not bound yet
            self.draw_release()
        for proxy in chance.sample(fleet.proxies, count):
            if proxy in self.away:
                self.away.discard(proxy)
                fleet.join([proxy], lambda _: self.ready()[:5])
            else:
                self.away.add(proxy)
                fleet.bound.pop(proxy, None)
                fleet.lines.pop(proxy, None)
                fleet.joined_at.pop(proxy, None)
                fleet.pending_events.append(i.ProxyLeft(proxy))

    def draw_silence(self):
        """Proxies that leave their nonces unanswered for a while."""
        self.silent.clear()
        self.silent.update(self.chance.sample(self.fleet.proxies, self.chance.choice((0, 3, 10))))

    def draw_list(self):
        fleet, how = self.fleet, self.chance.choice(("failed", "failed", "whole", "cached"))
        if how == "failed":
            fleet.pending_events.append(i.EndpointListUpdate("failed"))
        else:
            fleet.change_list(how, self.ready(), "ready")

    def report(self):
        fleet, chance = self.fleet, self.chance
        load = ("busy", "waiting", "held")[fleet.deployment.controllers % 3]
        for number, backend in enumerate(self.ready()):
            fault = self.faults.get(backend)
            if fault == "silent" or chance.random() < 0.2:
                continue
            tries = max(1, int(12 * self.burst))
            failed = int(tries * 0.8) if fault == "fails" else int(chance.random() < 0.1)
            slow = 900 * MS if fault == "slow" else 120 * MS * (1 + number % 4)
            latency = int(slow * max(1.0, self.burst) * (0.8 + 0.4 * chance.random()))
            told = {load: (9.0 if fault == "busy" else 0.2 + 0.3 * self.burst * chance.random())}
            zone = chance.choice(fleet.zones)
            fleet.pending_events.append(i.BackendReport(backend, zone, tries, failed, latency, 2 * S, told))
        for proxy in fleet.proxies:
            if proxy not in self.away and chance.random() < 0.5:
                kind = chance.choice(fleet.deployment.kinds)
                count = max(1, int(chance.choice((1, 2, 4)) * self.burst))
                fleet.pending_events.append(i.ArrivalReport(proxy, kind, count, 0, 2 * S))


def drawn(made, seed):
    _DrawnDay(made, seed).play()


def day(name, made, seed=1):
    from embertray.simulation.emulator.play import play
    from embertray.simulation.scenarios import notation

    with mock.patch("embertray.controller.runner.Controller", made):
        play(notation.load(name), seed, "reqs")


def save(path, name, recorder, steps):
    """The longest streams first, until so many steps are in."""
    kept, count = [], 0
    for rows in sorted(recorder.streams, key=len, reverse=True):
        if count < steps:
            kept.append({"digest": digest(rows), "rows": rows})
            count += len(rows)
    packed = zstandard.ZstdCompressor(level=19).compress(msgspec.json.encode({"of": name, "streams": kept}))
    Path(path).write_bytes(packed)
    return count, len(packed)


def load(path):
    return msgspec.json.decode(zstandard.ZstdDecompressor().decompress(Path(path).read_bytes()))


@click.group()
def main():
    pass


@main.command()
@click.argument("name")
@click.option("--out", required=True)
@click.option("--steps", default=1200, show_default=True, help="Streams are kept until so many steps are in.")
def record(name, out, steps):
    recorder = Recorder()
    if name == "crowd":
        crowd(recorder)
    elif name.startswith("drawn-"):
        drawn(recorder, int(name.removeprefix("drawn-")))
    else:
        day(name, recorder)
    click.echo("{} steps, {} bytes".format(*save(out, name, recorder, steps)))


@main.command(name="orders")
@click.argument("file")
def print_orders(file):
    for stream in load(file)["streams"]:
        for line in orders(stream["rows"]):
            click.echo(line)


@main.command()
@click.argument("files", nargs=-1)
def check(files):
    same = True
    for file in files:
        for stream in load(file)["streams"]:
            found = digest(stream["rows"])
            same = same and found == stream["digest"]
            click.echo(
                f"{file}: {len(stream['rows'])} steps: {'same' if found == stream['digest'] else 'OTHER'}"
            )
    sys.exit(0 if same else 1)


if __name__ == "__main__":
    main()
