"""Wire text to types and back: microseconds to nanoseconds, ids to objects, one module a controller."""

import traceback

from embertray.controller.identifiers import Identifiers
from embertray.controller.settings import SettingsError, StartSettings, number
from embertray.policy import Controller, interface as i

US = 1000
STATES = {0: "draining", 1: "gone", 2: "ready"}
LISTS = {0: "changes", 1: "whole", 2: "cached", 3: "failed"}


class WireError(Exception):
    pass


def boolean(text):
    if text in ("0", "1"):
        return text == "1"
    raise ValueError(text)


# field -> (reader, needed); fields that are not named here are skipped
FIELDS = {
    "SYNC": {"t-us": (int, True), "batch": (int, True)},
    "FOR": {"who": (int, True)},
    "ENLIST": {"salt": (int, True)},
    "KILLED": {},
    "DIRECTORY_UPDATE": {"kind": (int, True), "rows-in": (int, False)},
    "ITEM": {
        "backend": (str, True),
        "ready-at-us": (int, False),
        "share": (number, False),
        "health": (int, False),
        "rack-zone": (str, False),
    },
    "TICK_DUE": {"label": (int, True)},
    "CHECK_RESULT": {
        "how": (int, True),
        "took-us": (int, False),
        "backend": (str, True),
        "stats": (str, False),
    },
    "PEER_DATA": {"by": (int, True), "blob": (str, False)},
    "STREAM_UP": {
        "proxy": (int, True),
        "rack-zone": (str, True),
        "share": (number, False),
        "set": (boolean, False),
    },
    "DETACHED": {"proxy": (int, True)},
    "STATS": {
        "took-us": (int, False),
        "lost": (int, False),
        "backend": (str, True),
        "window-us": (int, False),
        "rack-zone": (str, False),
        "total": (int, True),
        "stats": (str, False),
    },
    "TRAFFIC": {
        "total": (int, True),
        "window-us": (int, False),
        "proxy": (int, True),
        "class": (str, True),
        "lost": (int, False),
    },
    "HEAT": {
        "route-table": (int, True),
        "class": (str, True),
        "total": (int, True),
        "lost": (int, False),
        "window-us": (int, False),
    },
    "LEASED": {"route-table": (int, True), "set": (boolean, True)},
    "LEDGER_LINE": {"route-table": (int, True), "backend": (str, True), "share": (number, False)},
    "CONFIRMED": {"took-us": (int, False), "proxy": (int, True), "epoch": (int, True)},
}


def pairs(text):
    found = {}
    for part in text.split(" "):
        if part:
            name, eq, value = part.partition("=")
            if not eq or not name:
                raise WireError(f"'{part}' is not name=value")
            found[name] = value
    return found


def fields(name, text):
    raw, got = pairs(text), {}
    for key, (read, needed) in FIELDS[name].items():
        if key in raw:
            try:
                got[key] = read(raw[key])
            except ValueError:
                raise WireError(f"{name}: '{raw[key]}' is no good value for {key}") from None
        elif needed:
            raise WireError(f"{name}: {key} is missing")
    return raw, got


class BenchController(Identifiers):
    """One controller: its module, and the ids of the objects that the module deals in."""

    def __init__(self, seed, raw, clock):
        super().__init__()
        try:
            settings = StartSettings(raw)
            self.reports, self.kinds = settings.reports, settings.kinds
            self.module = Controller(seed, settings.deployment(self), clock)
        except SettingsError as wrong:
            raise WireError(f"ENLIST: {wrong}") from None

    def load(self, got):
        try:
            return (
                dict(zip(self.reports, [number(v) for v in got["stats"].split(",")], strict=False))
                if "stats" in got
                else {}
            )
        except ValueError:
            raise WireError(f"'{got['stats']}' is no good load report") from None

    def kind(self, name):
        if name not in self.kinds:
            raise WireError(f"request kind '{name}' is not in the settings")
        return self.kinds[name]

    def entry(self, got):
        state = got.get("health", 2)
        if state not in STATES:
            raise WireError(f"ITEM: {state} is no good value for health")
        return i.Entry(
            self.backend(got["backend"]),
            self.zone(got.get("rack-zone", "")),
            STATES[state],
            got.get("ready-at-us", 0) * US,
            got.get("share", 1.0),
        )

    def event(self, name, got):
        """The typed event of one wire line; None for a name that is not known."""
        span = got.get("window-us", 0) * US
        if name == "DIRECTORY_UPDATE":
            if got["kind"] not in LISTS:
                raise WireError(f"{name}: {got['kind']} is no good value for kind")
            return i.ListNews(LISTS[got["kind"]])
        if name == "TICK_DUE":
            return i.WakeDue(got["label"])
        if name == "CHECK_RESULT":
            return i.ProbeDone(
                self.backend(got["backend"]), got["how"] == 1, got.get("took-us", 0) * US, self.load(got)
            )
        if name == "PEER_DATA":
            blob = got.get("blob", "-")
            try:
                return i.PeerNote(got["by"], b"" if blob == "-" else bytes.fromhex(blob))
            except ValueError:
                raise WireError(f"PEER_DATA: '{blob}' is no good value for blob") from None
        if name == "STREAM_UP":
            return i.Joined(
                self.proxy(got["proxy"]),
                self.zone(got["rack-zone"]),
                got.get("share", 0.0),
                got.get("set", False),
            )
        if name == "DETACHED":
            return i.Left(self.proxy(got["proxy"]))
        if name == "STATS":
            return i.Heard(
                self.backend(got["backend"]),
                self.zone(got.get("rack-zone", "")),
                got["total"],
                got.get("lost", 0),
                got.get("took-us", 0) * US,
                span,
                self.load(got),
            )
        if name == "TRAFFIC":
            return i.Arrivals(
                self.proxy(got["proxy"]), self.kind(got["class"]), got["total"], got.get("lost", 0), span
            )
        if name == "HEAT":
            return i.SliceArrivals(
                self.slice_table(got["route-table"]),
                self.kind(got["class"]),
                got["total"],
                got.get("lost", 0),
                span,
            )
        if name == "LEASED":
            return i.SliceGiven(self.slice_table(got["route-table"]), got["set"])
        if name == "LEDGER_LINE":
            return i.SliceLine(
                self.slice_table(got["route-table"]), self.backend(got["backend"]), got.get("share", 1.0)
            )
        if name == "CONFIRMED":
            nonce = self.nonces.get(got["epoch"])
            return nonce and i.Answered(self.proxy(got["proxy"]), nonce, got.get("took-us", 0) * US)
        return None

    def action(self, order):
        """The wire line of one order."""
        if isinstance(order, i.SetLine):
            return (
                f"ENDPOINT share={order.weight:.6g} route-table={self.table_id(order.table)} "
                f"backend={order.backend.external_id}"
            )
        if isinstance(order, i.Bind):
            return f"POINT proxy={order.proxy.external_id} route-table={self.table_id(order.table)} lanes=0"
        if isinstance(order, i.Withdraw):
            return f"TAKE_OUT backend={order.backend.external_id} set={int(order.out)}"
        if isinstance(order, i.SetLevel):
            lanes = sum(1 << kind.external_id for kind in order.kinds)
            return (
                f"SET_LEVEL route-table={self.table_id(order.table)} lanes={lanes} "
                f"allowance={order.level:.6g} second-try={order.retry}"
            )
        if isinstance(order, i.PutNonce):
            return f"CHECKPOINT set=0 epoch={self.nonce_id(order.nonce)}"
        if isinstance(order, i.Wake):
            return f"ARM label={order.label} wait-us={max(0, order.after) // US}"
        if isinstance(order, i.Subscribe):
            return f"WATCH set={int(order.on)}"
        if isinstance(order, i.AskList):
            return "GET_LIST"
        if isinstance(order, i.Probe):
            return f"PING backend={order.backend.external_id}"
        return "SAY_LOG what=" + " ".join(order.text.split())


class BatchReader:
    """Reads batches and plays them to the instances."""

    def __init__(self):
        self.instances = {}
        self.clock = None

    def begin(self, got):
        self.clock, self.batch = got["t-us"] * US, got["batch"]
        self.who, self.rows, self.news = None, 0, None
        self.todo = {}  # instance number -> its events, in order of first mention

    def line(self, text):
        """Takes one line; gives the reply's lines when the batch is done, else None."""
        name, _, rest = text.partition(" ")
        if name == "SYNC":
            if self.clock is not None:
                raise WireError("SYNC inside a batch")
            self.begin(fields(name, rest)[1])
            return None
        if self.clock is None:
            raise WireError(f"{name} before SYNC")
        if self.rows and name != "ITEM":
            raise WireError(f"DIRECTORY_UPDATE is {self.rows} entries short")
        if name == "FLUSH":
            return self.finish()
        if name not in FIELDS:
            return None
        raw, got = fields(name, rest)
        if name == "FOR":
            self.who = got["who"]
        elif self.who is None:
            raise WireError(f"{name} before FOR")
        elif name == "ITEM":
            if self.rows:
                self.rows -= 1
                if self.news:
                    self.news.entries.append(self.instances[self.who].entry(got))
        elif name == "ENLIST":
            self.instances[self.who] = BenchController(got["salt"], raw, self.clock)
            self.todo[self.who] = []
        elif name == "KILLED":
            self.instances.pop(self.who, None)
            self.todo.pop(self.who, None)
        else:
            known = self.instances.get(self.who)
            event = known.event(name, got) if known else None
            if name == "DIRECTORY_UPDATE":
                self.rows, self.news = got.get("rows-in", 0), event
                if self.rows < 0:
                    raise WireError("DIRECTORY_UPDATE: rows-in is below 0")
            if event:
                self.todo.setdefault(self.who, []).append(event)
        return None

    def finish(self):
        reply = []
        for who, events in self.todo.items():
            instance = self.instances[who]
            reply.append(f"FROM who={who}")
            try:
                orders = instance.module.step(self.clock, events)
            except Exception as cause:  # the wire wants the module's failure declared, not a crash
                spot = traceback.extract_tb(cause.__traceback__)[-1]
                reply.append(
                    f"DIE what={type(cause).__name__}: {cause} ({spot.name}, line {spot.lineno})".replace(
                        "\n", " "
                    )
                )
                break
            reply += [instance.action(order) for order in orders]
            if not orders:
                reply.pop()
        reply.append(f"DONE batch={self.batch}")
        self.clock = None
        return reply


def serve(source, sink, errors):
    """Runs to the end of input: 0, or 1 with one message if a line is malformed."""
    link, count = BatchReader(), 0
    for text in source:
        count += 1
        text = text.rstrip("\r\n")
        if not text:
            continue
        try:
            reply = link.line(text)
        except WireError as wrong:
            errors.write(f"embertray: line {count}: {wrong}\n")
            return 1
        if reply:
            sink.write("\n".join(reply) + "\n")
            sink.flush()
    return 0
