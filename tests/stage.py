"""Plays scenario files to the module. The notation is told in tests/scenes/README.txt."""

import operator
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from embertray.policy import (
    Controller,  # noqa: E402
    interface as i,  # noqa: E402
)

UNITS = {"ms": 10**6, "s": 10**9}
COMPARE = {"<": operator.lt, ">": operator.gt, "=": lambda a, b: abs(a - b) < 1e-6}


def value(text):
    for unit in ("ms", "s"):
        if text.endswith(unit) and text[: -len(unit)].replace(".", "").isdigit():
            return int(float(text[: -len(unit)]) * UNITS[unit])
    if text in ("yes", "no"):
        return text == "yes"
    try:
        return float(text) if "." in text else int(text)
    except ValueError:
        return text


class Stage:
    def __init__(self):
        self.things, self.now, self.orders, self.todo = {}, 10 * UNITS["s"], [], []
        self.site, self.module, self.steady, self.answers = {}, None, {}, 0
        both = dict(latency_objective=8 * 10**8, client_timeout=2 * 10**9)
        self.kinds = {
            "view": i.RequestKind(**both, credit=1, external_id="view"),
            "pay": i.RequestKind(**both, credit=3, again="non-replayable", external_id="pay"),
        }
        self.tables, self.bound, self.out, self.levels, self.open = {}, {}, set(), {}, {}
        self.messages = []

    def thing(self, kind, name):
        return self.things.setdefault((kind, name), kind(name))

    def do_site(self, *pairs):
        self.site.update((k, value(v)) for k, v in (p.split("=") for p in pairs))

    def do_start(self, seed="1"):
        given = (
            dict(
                report_interval=10**9,
                channel_delay_max=3 * 10**8,
                warm_up_time=10**10,
                cold_speed=0.2,
                overload_multiple=4.0,
                pending_max=1500.0,
                channel_rate=1000.0,
                head=4.0,
                throttle="share",
                messages_window=10**10,
            )
            | self.site
        )
        zones = [self.thing(i.Zone, z) for z in given.pop("zones", "north").split(",")]
        for thing in self.things.values():
            thing.policy_state = None
        self.tables, self.levels, self.open = {}, {}, {}
        self.module = Controller(int(seed), i.Deployment(list(self.kinds.values()), zones, **given), self.now)

    def do_list(self, how, *rows):
        if self.module is None:
            self.do_start()
        entries = []
        for row in rows:
            name, zone, state, started = (row.split(":") + ["north", "ready", "0"][row.count(":") :])[:4]
            began = self.now - value(started) if started != "0" else 0
            entries.append(i.Endpoint(self.thing(i.Backend, name), self.thing(i.Zone, zone), state, began))
        self.todo.append(i.EndpointListUpdate(how, entries))

    def do_join(self, name, zone="north", *flags):
        self.bound.pop(name, None)
        self.todo.append(
            i.ProxyJoined(self.thing(i.Proxy, name), self.thing(i.Zone, zone), 10.0, "fresh" in flags)
        )

    def do_left(self, name):
        self.open.pop(name, None)
        self.todo.append(i.ProxyLeft(self.thing(i.Proxy, name)))

    def do_answers(self, how):
        self.answers = {"on": 0, "off": 10**18}.get(how, value(how))

    def do_hear(self, name, *pairs):
        """Every second from now on, the same report; tries=0 ends it."""
        self.steady |= {
            one: {k: value(v) for k, v in (p.split("=") for p in pairs)} for one in name.split(",")
        }

    def do_come(self, name, kind, reqs):
        self.steady[(name, kind)] = value(reqs)

    def do_at(self, when):
        """Steps to a time from the start, a quarter of a second each, with the steady reports at each
        second.
        """
        self.step()
        self.orders, until = [], 10 * UNITS["s"] + value(when)
        while self.now < until:
            self.now += 250 * UNITS["ms"]
            if self.now % UNITS["s"] == 0:
                for key, what in self.steady.items():
                    if not isinstance(key, tuple) and self.now // UNITS["s"] % what.get(
                        "every", 1
                    ) != what.get("from", 0):
                        continue
                    if isinstance(key, tuple):
                        self.todo.append(
                            i.ArrivalReport(
                                self.thing(i.Proxy, key[0]), self.kinds[key[1]], what, span=UNITS["s"]
                            )
                        )
                    else:
                        load = {k: what[k] for k in ("busy", "waiting", "held") if k in what}
                        self.todo.append(
                            i.BackendReport(
                                self.thing(i.Backend, key),
                                self.thing(i.Zone, "north"),
                                what["tries"],
                                what.get("failed", 0),
                                what.get("latency", 0),
                                what.get("span", UNITS["s"]),
                                load,
                            )
                        )
            self.step()

    def step(self):
        for name, nonces in self.open.items():
            due = [(m, self.now - at) for m, at in nonces if self.now - at >= self.answers]
            self.todo += [i.NonceAcknowledged(self.thing(i.Proxy, name), m, took + 10**8) for m, took in due]
            del nonces[: len(due)]
        todo, self.todo = self.todo, []
        orders = self.module.step(self.now, todo)
        self.orders += orders
        self.apply(orders)

    def apply(self, orders):
        touched = set()
        for o in orders:
            if isinstance(o, i.SetLine):
                self.tables.setdefault(o.table, {})[o.backend.external_id] = o.weight
                touched |= {p for p, t in self.bound.items() if t is o.table}
            elif isinstance(o, i.SetAdmission):
                self.levels.update({k.external_id: (o.level, o.retry) for k in o.kinds})
                touched |= {p for p, t in self.bound.items() if t is o.table}
            elif isinstance(o, i.Bind):
                self.bound[o.proxy.external_id] = o.table
                touched.add(o.proxy.external_id)
            elif isinstance(o, i.Withdraw):
                (self.out.add if o.out else self.out.discard)(o.backend.external_id)
                touched |= set(self.bound)
            elif isinstance(o, i.RequestAcknowledgement):
                for name in touched:
                    self.open.setdefault(name, []).append((o.nonce, self.now))
        self.messages += [(self.now, name) for name in touched]

    def see(self, what, *words):
        """One line of what must be seen; gives a text when it is not."""
        if what in ("bind", "subscribe", "log"):
            seen = [
                o
                for o in self.orders
                if isinstance(o, {"bind": i.Bind, "subscribe": i.Subscribe, "log": i.Log}[what])
            ]
            if what != "subscribe":
                seen = [
                    o for o in seen if " ".join(words) in (o.proxy.external_id if what == "bind" else o.text)
                ]
            return None if seen else "not ordered"
        if what == "known":
            known = [part.handle.external_id for part in self.module.backends + self.module.proxies]
            return None if words[0] in known else f"known are {known}"
        if what in ("out", "in"):
            lines = [self.tables[t].get(words[0], 0) for t in self.bound.values()]
            gone = words[0] in self.out or what == "out" and not any(lines)
            return None if gone == (what == "out") else f"out are {sorted(self.out)}, lines {lines}"
        name, how, than = words[-3:]
        name = words[0] if what == "orders" else name
        if what == "line":
            got = self.tables[self.bound[words[0]]].get(name, 0)
        elif what == "messages":
            got = sum(1 for at, who in self.messages if who == name and at > self.now - 10 * UNITS["s"])
        elif what == "orders":
            got = sum(1 for o in self.orders if type(o).__name__.lower() == name)
        else:
            got = self.levels[name][what == "retry"]
        return None if COMPARE[how](got, value(than)) else f"it is {got}"


def play(path):
    stage = Stage()
    for number, text in enumerate(path.read_text().splitlines(), 1):
        words = text.split("#")[0].split()
        if words and words[0] == "see":
            stage.step()
            no = words[1] == "no"
            wrong = stage.see(*words[1 + no :])
            if bool(wrong) != no:
                raise AssertionError(f"{path.name}, line {number}: {text.strip()}: {wrong or 'it was seen'}")
        elif words:
            getattr(stage, "do_" + words[0])(*words[1:])
    return stage
