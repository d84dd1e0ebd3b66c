"""Plays scene files against the policy. tests/scenes/README.txt describes the notation."""

import operator
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from embertray.policy import (
    Controller,  # noqa: E402
    interface as i,  # noqa: E402
)

UNITS = {"ms": 10**6, "s": 10**9}
COMPARISONS = {"<": operator.lt, ">": operator.gt, "=": lambda a, b: abs(a - b) < 1e-6}


def parse_value(text):
    for unit in ("ms", "s"):
        if text.endswith(unit) and text[: -len(unit)].replace(".", "").isdigit():
            return int(float(text[: -len(unit)]) * UNITS[unit])
    if text in ("yes", "no"):
        return text == "yes"
    try:
        return float(text) if "." in text else int(text)
    except ValueError:
        return text


class ScenePlayer:
    def __init__(self):
        self.handles, self.now, self.orders, self.pending_events = {}, 10 * UNITS["s"], [], []
        self.deployment_settings, self.policy, self.repeated_reports, self.acknowledgement_delay = (
            {},
            None,
            {},
            0,
        )
        both = dict(latency_objective=8 * 10**8, client_timeout=2 * 10**9)
        self.kinds = {
            "view": i.RequestKind(**both, credit=1, external_id="view"),
            "pay": i.RequestKind(**both, credit=3, again="non-replayable", external_id="pay"),
        }
        self.tables, self.bound, self.withdrawn, self.levels, self.unacknowledged = {}, {}, set(), {}, {}
        self.messages = []

    def handle(self, kind, name):
        return self.handles.setdefault((kind, name), kind(name))

    def do_site(self, *pairs):
        self.deployment_settings.update((k, parse_value(v)) for k, v in (p.split("=") for p in pairs))

    def do_start(self, seed="1"):
        settings = (
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
            | self.deployment_settings
        )
        zones = [self.handle(i.Zone, z) for z in settings.pop("zones", "north").split(",")]
        for handle in self.handles.values():
            handle.policy_state = None
        self.tables, self.levels, self.unacknowledged = {}, {}, {}
        self.policy = Controller(
            int(seed), i.Deployment(list(self.kinds.values()), zones, **settings), self.now
        )

    def do_list(self, kind, *rows):
        if self.policy is None:
            self.do_start()
        entries = []
        for row in rows:
            name, zone, state, started = (row.split(":") + ["north", "ready", "0"][row.count(":") :])[:4]
            started_at = self.now - parse_value(started) if started != "0" else 0
            entries.append(
                i.Endpoint(self.handle(i.Backend, name), self.handle(i.Zone, zone), state, started_at)
            )
        self.pending_events.append(i.EndpointListUpdate(kind, entries))

    def do_join(self, name, zone="north", *flags):
        self.bound.pop(name, None)
        self.pending_events.append(
            i.ProxyJoined(self.handle(i.Proxy, name), self.handle(i.Zone, zone), 10.0, "fresh" in flags)
        )

    def do_left(self, name):
        self.unacknowledged.pop(name, None)
        self.pending_events.append(i.ProxyLeft(self.handle(i.Proxy, name)))

    def do_answers(self, delay):
        self.acknowledgement_delay = {"on": 0, "off": 10**18}.get(delay, parse_value(delay))

    def do_hear(self, name, *pairs):
        """Repeats a report every second from now on; tries=0 ends it."""
        self.repeated_reports |= {
            backend: {k: parse_value(v) for k, v in (p.split("=") for p in pairs)}
            for backend in name.split(",")
        }

    def do_come(self, name, kind, reqs):
        self.repeated_reports[(name, kind)] = parse_value(reqs)

    def do_at(self, when):
        """Steps every quarter of a second to a time after the start, with repeated reports each second."""
        self.step()
        self.orders, until = [], 10 * UNITS["s"] + parse_value(when)
        while self.now < until:
            self.now += 250 * UNITS["ms"]
            if self.now % UNITS["s"] == 0:
                for key, report in self.repeated_reports.items():
                    if not isinstance(key, tuple) and self.now // UNITS["s"] % report.get(
                        "every", 1
                    ) != report.get("from", 0):
                        continue
                    if isinstance(key, tuple):
                        self.pending_events.append(
                            i.ArrivalReport(
                                self.handle(i.Proxy, key[0]), self.kinds[key[1]], report, span=UNITS["s"]
                            )
                        )
                    else:
                        load = {k: report[k] for k in ("busy", "waiting", "held") if k in report}
                        self.pending_events.append(
                            i.BackendReport(
                                self.handle(i.Backend, key),
                                self.handle(i.Zone, "north"),
                                report["tries"],
                                report.get("failed", 0),
                                report.get("latency", 0),
                                report.get("span", UNITS["s"]),
                                load,
                            )
                        )
            self.step()

    def step(self):
        for name, nonces in self.unacknowledged.items():
            due = [
                (nonce, self.now - at) for nonce, at in nonces if self.now - at >= self.acknowledgement_delay
            ]
            self.pending_events += [
                i.NonceAcknowledged(self.handle(i.Proxy, name), nonce, took + 10**8) for nonce, took in due
            ]
            del nonces[: len(due)]
        pending_events, self.pending_events = self.pending_events, []
        orders = self.policy.step(self.now, pending_events)
        self.orders += orders
        self.apply(orders)

    def apply(self, orders):
        touched = set()
        for order in orders:
            if isinstance(order, i.SetLine):
                self.tables.setdefault(order.table, {})[order.backend.external_id] = order.weight
                touched |= {p for p, t in self.bound.items() if t is order.table}
            elif isinstance(order, i.SetAdmission):
                self.levels.update({k.external_id: (order.level, order.retry) for k in order.kinds})
                touched |= {p for p, t in self.bound.items() if t is order.table}
            elif isinstance(order, i.Bind):
                self.bound[order.proxy.external_id] = order.table
                touched.add(order.proxy.external_id)
            elif isinstance(order, i.Withdraw):
                (self.withdrawn.add if order.out else self.withdrawn.discard)(order.backend.external_id)
                touched |= set(self.bound)
            elif isinstance(order, i.RequestAcknowledgement):
                for name in touched:
                    self.unacknowledged.setdefault(name, []).append((order.nonce, self.now))
        self.messages += [(self.now, name) for name in touched]

    def check(self, what, *words):
        """Checks one `see` line; returns the reason if it does not hold, else None."""
        if what in ("bind", "subscribe", "log"):
            seen = [
                order
                for order in self.orders
                if isinstance(order, {"bind": i.Bind, "subscribe": i.Subscribe, "log": i.Log}[what])
            ]
            if what != "subscribe":
                seen = [
                    order
                    for order in seen
                    if " ".join(words) in (order.proxy.external_id if what == "bind" else order.text)
                ]
            return None if seen else "not ordered"
        if what == "known":
            known = [state.handle.external_id for state in self.policy.backends + self.policy.proxies]
            return None if words[0] in known else f"known are {known}"
        if what in ("out", "in"):
            lines = [self.tables[t].get(words[0], 0) for t in self.bound.values()]
            gone = words[0] in self.withdrawn or what == "out" and not any(lines)
            return None if gone == (what == "out") else f"out are {sorted(self.withdrawn)}, lines {lines}"
        name, comparison, expected = words[-3:]
        name = words[0] if what == "orders" else name
        if what == "line":
            actual = self.tables[self.bound[words[0]]].get(name, 0)
        elif what == "messages":
            actual = sum(1 for at, who in self.messages if who == name and at > self.now - 10 * UNITS["s"])
        elif what == "orders":
            actual = sum(1 for order in self.orders if type(order).__name__.lower() == name)
        else:
            actual = self.levels[name][what == "retry"]
        return None if COMPARISONS[comparison](actual, parse_value(expected)) else f"it is {actual}"


def play(path):
    player = ScenePlayer()
    for number, text in enumerate(path.read_text().splitlines(), 1):
        words = text.split("#")[0].split()
        if words and words[0] == "see":
            player.step()
            no = words[1] == "no"
            wrong = player.check(*words[1 + no :])
            if bool(wrong) != no:
                raise AssertionError(f"{path.name}, line {number}: {text.strip()}: {wrong or 'it was seen'}")
        elif words:
            getattr(player, "do_" + words[0])(*words[1:])
    return player
