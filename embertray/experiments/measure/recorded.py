"""Records the events given to decision modules, and replays them to compare the orders.

A change that must not alter any decision yields the same orders, byte for byte.
`python -m embertray.experiments.measure.recorded record NAME --out FILE` records, where NAME is a day (played
without streams), `crowd` (hundreds of proxies that join at once) or `drawn-SEED` (a fleet under faults drawn
from the seed); `... orders FILE` prints all orders; `... check FILE` compares their digest with the recorded
one. A file is zstandard-compressed JSON with one row for each step.
"""

import dataclasses
import hashlib
import sys
from pathlib import Path
from unittest import mock

import click
import msgspec
import zstandard

from embertray.policy import Controller, interface as i

from .recorded_fleets import run_crowd, run_random_faults

# interface type or field -> its name in recorded files, which keep the names of the time they were written
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
FIELDS_BY_RECORDED_NAME = {recorded: field for field, recorded in RECORDED_FIELDS.items()}


def recorded_name(kind):
    """Returns the name of an interface type in recorded files."""
    return RECORDED_TYPES.get(kind.__name__, kind.__name__)


TYPES_BY_RECORDED_NAME = {recorded_name(kind): kind for kind in vars(i).values() if isinstance(kind, type)}
MS, S = 10**6, 10**9  # ns


class RowCodec:
    """Converts objects of the interface to rows of JSON and back.

    A handle or request kind is written as its type and a number, in the order of first use.
    """

    def __init__(self):
        self.numbers, self.objects, self.counts = {}, {}, {}

    def to_row(self, value):
        """Returns the row of an object."""
        if isinstance(value, (i.Handle, i.RequestKind)):
            if value not in self.numbers:
                name = type(value).__name__
                self.counts[name] = n = self.counts.get(name, 0) + 1
                self.numbers[value] = [name, n]
                self.objects[name, n] = value
            return {"at": self.numbers[value]}
        if dataclasses.is_dataclass(value):
            return {"of": recorded_name(type(value))} | {
                RECORDED_FIELDS.get(field.name, field.name): self.to_row(getattr(value, field.name))
                for field in dataclasses.fields(value)
            }
        if isinstance(value, (list, tuple)):
            return [self.to_row(one) for one in value]
        return value

    def from_row(self, row):
        """Returns the object of a row; a handle that is new is created."""
        if isinstance(row, list):
            return [self.from_row(one) for one in row]
        if isinstance(row, dict) and "at" in row:
            name, n = row["at"]
            if (name, n) not in self.objects:
                self.objects[name, n] = created = TYPES_BY_RECORDED_NAME[name]()
                self.numbers[created] = row["at"]
                self.counts[name] = max(n, self.counts.get(name, 0))
            return self.objects[name, n]
        if isinstance(row, dict) and "of" in row:
            fields = {
                FIELDS_BY_RECORDED_NAME.get(key, key): self.from_row(value)
                for key, value in row.items()
                if key != "of"
            }
            return TYPES_BY_RECORDED_NAME[row["of"]](**fields)
        return row

    def encode_start(self, seed, site, now):
        """Returns the first row of a stream.

        It holds the request kinds in full; later rows refer to them by number.
        """
        kinds = [
            [kind.latency_objective, kind.client_timeout, kind.credit, kind.again, kind.group]
            for kind in site.kinds
        ]
        return {"seed": seed, "now": now, "kinds": kinds, "site": self.to_row(site)}

    def decode_start(self, row):
        """Returns (seed, deployment, time in ns) from the first row of a stream."""
        for n, kind in enumerate(row["kinds"], 1):
            self.objects["RequestKind", n] = created = i.RequestKind(*kind)
            self.numbers[created], self.counts["RequestKind"] = ["RequestKind", n], n
        return row["seed"], self.from_row(row["site"]), row["now"]


class Recorder:
    """A factory of decision modules that records what each is given, a list of rows for each module."""

    def __init__(self, make_module=Controller):
        self.make_module, self.streams = make_module, []

    def __call__(self, seed, site, now=0):
        """Makes a module whose steps are recorded."""
        codec, rows, module = RowCodec(), [], self.make_module(seed, site, now)
        rows.append(codec.encode_start(seed, site, now))
        self.streams.append(rows)
        step = module.step

        def recorded(now, events):
            rows.append([now, codec.to_row(events)])
            orders = step(now, events)
            codec.to_row(orders)  # assigns numbers to new tables and nonces
            return orders

        module.step = recorded
        return module


def replay(rows, make_module=Controller, with_logs=True):
    """Replays recorded events to a new module, and yields its orders as lines of JSON.

    Args:
        rows: a recorded stream.
        make_module: makes the module.
        with_logs: whether log orders are included.
    """
    codec = RowCodec()
    module = make_module(*codec.decode_start(rows[0]))
    for now, events in rows[1:]:
        decoded = [codec.from_row(event) for event in events]
        ordered = module.step(now, decoded)
        if not with_logs:
            ordered = [order for order in ordered if not isinstance(order, i.Log)]
        yield msgspec.json.encode([now, codec.to_row(ordered)])


def digest(rows, make_module=Controller):
    """Returns the digest of all orders but log lines, whose texts decide nothing."""
    return hashlib.sha256(b"\n".join(replay(rows, make_module, with_logs=False))).hexdigest()


def record_day(name, make_module, seed=1):
    """Plays a scripted day, at the fidelity of single requests, with modules made by `make_module`."""
    from embertray.simulation.emulator.play import play
    from embertray.simulation.scenarios import notation

    with mock.patch("embertray.controller.runner.Controller", make_module):
        play(notation.load(name), seed, "reqs")


def save(path, name, recorder, steps):
    """Writes the longest streams to a file until they hold `steps` steps.

    Returns the number of steps and of bytes written.
    """
    kept, count = [], 0
    for rows in sorted(recorder.streams, key=len, reverse=True):
        if count < steps:
            kept.append({"digest": digest(rows), "rows": rows})
            count += len(rows)
    packed = zstandard.ZstdCompressor(level=19).compress(msgspec.json.encode({"of": name, "streams": kept}))
    Path(path).write_bytes(packed)
    return count, len(packed)


def load(path):
    """Reads a file of recorded streams."""
    return msgspec.json.decode(zstandard.ZstdDecompressor().decompress(Path(path).read_bytes()))


@click.group()
def main():
    """Records events and replays them."""
    pass


@main.command()
@click.argument("name")
@click.option("--out", required=True)
@click.option(
    "--steps", default=1200, show_default=True, help="Keep streams until they hold this many steps."
)
def record(name, out, steps):
    """Records a day, the crowd or a fleet under random faults."""
    recorder = Recorder()
    if name == "crowd":
        run_crowd(recorder)
    elif name.startswith("drawn-"):
        run_random_faults(recorder, int(name.removeprefix("drawn-")))
    else:
        record_day(name, recorder)
    click.echo("{} steps, {} bytes".format(*save(out, name, recorder, steps)))


@main.command(name="orders")
@click.argument("file")
def print_orders(file):
    """Prints the orders that a replay of FILE yields."""
    for stream in load(file)["streams"]:
        for line in replay(stream["rows"]):
            click.echo(line)


@main.command()
@click.argument("files", nargs=-1)
def check(files):
    """Compares the replay of each file with its recorded digest; exit code 1 if one differs."""
    all_same = True
    for file in files:
        for stream in load(file)["streams"]:
            found = digest(stream["rows"])
            all_same = all_same and found == stream["digest"]
            click.echo(
                f"{file}: {len(stream['rows'])} steps: {'same' if found == stream['digest'] else 'OTHER'}"
            )
    sys.exit(0 if all_same else 1)


if __name__ == "__main__":
    main()
