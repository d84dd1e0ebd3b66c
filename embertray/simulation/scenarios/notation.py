"""Reads a day's text (day.lark is the grammar) into what the player runs. Errors name file, line and
column.
"""

import re
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path

from lark import Lark, Transformer, UnexpectedInput, v_args
from lark.exceptions import VisitError

from embertray.service.site.site import time

from .words import FAULTS, FLEET, LINKS, LOAD, ends, kind_of

HERE = Path(__file__).resolve().parent
S = 10**9


class BadDay(ValueError):
    """The text is no day; the message names file, line, column and what was expected."""


@dataclass
class FaultSpec:
    """`targets`: names (b1, p2, c1), links (c1>c2, c1<>list), or shares of all as floats."""

    at: int
    name: str
    targets: list
    lasts: int = 5 * S
    times: float = 1.0
    by: int = S
    options: dict = field(default_factory=dict)
    line: int = 0


@dataclass
class Day:
    name: str = ""
    about: str = ""
    site: str = "pushed"
    facts: dict = field(default_factory=dict)
    fleet: dict = field(default_factory=dict)
    rate: float = 50.0
    lasts: int = 20 * S
    load: dict = field(default_factory=dict)
    faults: list = field(default_factory=list)
    expect: dict = field(default_factory=dict)

    @property
    def linked(self):
        """The first fault that strikes links between processes, or None."""
        return next((fault for fault in self.faults if fault.name in LINKS), None)


@v_args(inline=True)
class Reader(Transformer):
    def __init__(self, day, path):
        super().__init__()
        self.day, self.path = day, path

    def wrong(self, token, text):
        raise BadDay(f"{self.path}:{token.line}:{token.column}: {text}")

    def pair(self, name, value):
        return name, value

    def lasts(self, text):
        return "lasts", time(str(text))

    def times(self, text):
        return "times", float(text)

    def delay(self, text):
        return "by", time(str(text))

    def target(self, token):
        return float(token[:-1]) / 100 if token.endswith("%") else str(token)

    def about(self, text):
        self.day.about = str(text)[1:-1]

    def site(self, name, *pairs):
        self.day.site = str(name)
        self.day.facts = {str(k).replace("-", "_"): str(v) for k, v in pairs}

    def known(self, pairs, table, where):
        for name, value in pairs:
            if str(name) not in table:
                self.wrong(name, f"{where} knows no '{name}'; it takes {', '.join(table)}")
            yield str(name), str(value)

    def fleet(self, *pairs):
        self.day.fleet.update(self.known(pairs, FLEET, "fleet"))

    def load(self, rate, lasts, *pairs):
        self.day.rate, self.day.lasts = float(rate[:-2]), time(str(lasts))
        self.day.load.update(self.known(pairs, LOAD, "load"))

    def judge(self, *pairs):
        self.day.expect.update((str(k), str(v)) for k, v in pairs)

    def trouble(self, at, name, *rest):
        strikes = FAULTS.get(str(name))
        if strikes is None:
            self.wrong(name, f"no trouble '{name}'; there are {', '.join(FAULTS)}")
        found = FaultSpec(time(str(at)), str(name), [], line=name.line)
        for one in rest:
            if isinstance(one, tuple):
                if one[0] in ("lasts", "times", "by"):
                    setattr(found, *one)
                else:
                    found.options[str(one[0])] = str(one[1])
            else:
                if isinstance(one, str) and kind_of(one) not in strikes:
                    self.wrong(name, f"'{name}' can't strike {one}")
                found.targets.append(one)
        if strikes != "-" and not found.targets:
            self.wrong(name, f"'{name}' must name what it strikes, as b1, p2, c1, c1>c2 or 20%")
        self.day.faults.append(found)


@cache
def parser():
    return Lark((HERE / "day.lark").read_text(), parser="lalr", propagate_positions=True)


def read(text, path="day"):
    """The Day of a text. Raises BadDay."""
    day = Day(name=Path(path).stem, fleet=dict(FLEET), load=dict(LOAD))
    try:
        Reader(day, path).transform(parser().parse(text + "\n"))
    except UnexpectedInput as wrong:
        lines = text.split("\n")
        line = lines[wrong.line - 1] if 0 < wrong.line <= len(lines) else ""
        raise BadDay(f"{path}:{wrong.line}:{wrong.column}: this can't be read here: {line.strip()}") from None
    except VisitError as wrong:
        if isinstance(wrong.orig_exc, BadDay):
            raise wrong.orig_exc from None
        raise BadDay(f"{path}: {wrong.orig_exc}") from None
    check(day, path)
    return day


def check(day, path):
    counts = {
        "b": int(day.fleet["backends"]),
        "p": int(day.fleet["proxies"]),
        "c": int(day.fleet["controllers"]),
    }

    def there(name):
        return name in ("list", "px") or 1 <= int(name[1:]) <= counts[name[0]]

    for fault in day.faults:
        shares = [part for part in fault.options.get("groups", "").split("/") if "%" in part]
        shares += [fault.options["share"]] if fault.name in LINKS and "share" in fault.options else []
        if bad := next((part for part in shares if not re.fullmatch(r"(\d{1,2}(\.\d+)?|100)%", part)), None):
            raise BadDay(f"{path}:{fault.line}:1: '{bad}' is no share; 30% is one")
        groups = (
            fault.options.get("groups", "").replace("/", ",").split(",") if "groups" in fault.options else []
        )
        if "%" in fault.options.get("groups", ""):
            groups = []  # shares, drawn
        elif fault.name == "split" and (missing := {f"c{n + 1}" for n in range(counts["c"])} - set(groups)):
            raise BadDay(
                f"{path}:{fault.line}:1: groups= must name every controller; "
                f"{', '.join(sorted(missing))} is missing"
            )
        for target in [t for t in fault.targets if isinstance(t, str)] + groups:
            try:
                bad = next((name for name in ends(target) if not there(name)), None)
            except (ValueError, KeyError, IndexError):
                bad = target
            if bad is not None:
                raise BadDay(f"{path}:{fault.line}:1: there is no {bad}")
            if kind_of(target) == "l" and (
                len(set(ends(target))) < 2 or not any(name[0] == "c" for name in ends(target))
            ):
                raise BadDay(
                    f"{path}:{fault.line}:1: there is no link {target}: one end at least is a controller"
                )


def load(path):
    """The Day of a file, or of the name of one that comes with the program."""
    found = Path(path)
    if not found.suffix and not found.is_file():
        found = HERE / "scripts" / f"{path}.day"
    try:
        return read(found.read_text(), str(found))
    except FileNotFoundError:
        raise BadDay(f"{path}: no such day; there are {', '.join(names())}") from None
    except (OSError, UnicodeDecodeError) as wrong:
        raise BadDay(f"{path}: {wrong}") from None


def names():
    return sorted(p.stem for p in (HERE / "scripts").glob("*.day"))
