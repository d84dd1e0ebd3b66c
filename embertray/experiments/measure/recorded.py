"""Streams of events as modules were given them, to be played again: a change that must decide nothing else
gives the same orders, byte for byte. `python -m embertray.experiments.measure.recorded record DAY --out
FILE` plays a day
without streams, `... crowd --out FILE` a fleet of hundreds that all joins at once, `... orders FILE` prints
all orders, `... check FILE` their digest beside the recorded one. A file: zstandard of JSON rows, one for
each step."""

import dataclasses
import hashlib
import sys
from pathlib import Path
from unittest import mock

import click
import msgspec
import zstandard

from embertray.policy import Controller, interface as i

KINDS = {kind.__name__: kind for kind in vars(i).values() if isinstance(kind, type)}
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
            return {"of": type(thing).__name__} | {
                field.name: self.row(getattr(thing, field.name)) for field in dataclasses.fields(thing)
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
            return KINDS[row["of"]](**{key: self.thing(value) for key, value in row.items() if key != "of"})
        return row

    def start(self, seed, site, now):
        """A start's row; request kinds stand there whole, later by number."""
        kinds = [
            [kind.response_target, kind.client_timeout, kind.credit, kind.again, kind.group]
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


def orders(rows, made=Controller):
    """What a module of today orders when it is given the recorded events: lines of text."""
    names = Names()
    module = made(*names.begin(rows[0]))
    for now, events in rows[1:]:
        given = [names.thing(event) for event in events]
        yield msgspec.json.encode([now, names.row(module.step(now, given))])


def digest(rows, made=Controller):
    return hashlib.sha256(b"\n".join(orders(rows, made))).hexdigest()


def crowd(made, backends=100, proxies=400):
    """All proxies come at once in the middle of a replacement, with sums of what they meet; then 30 s of
    it.
    """
    from embertray.simulation.standins.fleet import Fleet

    fleet = Fleet(made, backends, proxies)
    fleet.run(11 * S)
    kinds = fleet.site.kinds
    for second in range(30):
        if second < 4:
            fleet.join(
                fleet.proxies[second::4], lambda proxy: fleet.backends[proxy.external_id % 5 * 20 :][:20]
            )
        if second in (3, 5, 7):
            fleet.list("changes", fleet.backends[second * 10 - 30 :][:20], "draining")
            new = [i.Backend(f"be-{1000 + second * 20 + k}") for k in range(20)]
            fleet.list("changes", new, "ready", fleet.now)
        for n, backend in enumerate(fleet.backends[second % 2 :: 2]):
            bad = 9 if n % 11 == 0 and second > 12 else 0
            slow = (250 + 40 * (n % 7) + (600 if 15 < second < 24 else 0)) * MS
            fleet.todo.append(i.Heard(backend, fleet.zones[n % 2], 10, bad, slow, 2 * S, {"waiting": n % 5}))
        for proxy in fleet.proxies[second % 4 :: 4]:
            fleet.todo.append(
                i.Arrivals(proxy, kinds[proxy.external_id % 2], 2 + proxy.external_id % 3, 0, 2 * S)
            )
        fleet.run(fleet.now + S)


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
    (crowd if name == "crowd" else lambda made: day(name, made))(recorder)
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
