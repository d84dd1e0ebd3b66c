"""Reads a day's text into what the player runs; day.lark is the grammar.

Errors name file, line and column.
"""

from dataclasses import dataclass, field
from functools import cache
from pathlib import Path

from lark import Lark, Transformer, UnexpectedInput, v_args
from lark.exceptions import VisitError

from embertray.service.site.values import parse_duration

from .exceptions import DayError
from .target_check import check_targets
from .words import FAULTS, FLEET, LINKS, LOAD, target_kind

HERE = Path(__file__).resolve().parent
SECOND_NS = 10**9


@dataclass
class FaultSpec:
    """One fault of a day.

    Attributes:
        at: when it strikes, ns from the first request.
        name: its word.
        targets: names (b1, p2, c1), links (c1>c2, c1<>list), or shares of all as floats.
        lasts: how long, ns.
        times: how often, how many or how much, by fault.
        by: its delay or the time between its parts, ns.
        options: other words -> values as text.
        line: its line in the text.
    """

    at: int
    name: str
    targets: list
    lasts: int = 5 * SECOND_NS
    times: float = 1.0
    by: int = SECOND_NS
    options: dict = field(default_factory=dict)
    line: int = 0


@dataclass
class Day:
    """What a day's text says.

    Attributes:
        name: of its file.
        about: what it is for.
        site: name or path of the site's file.
        facts: the site's fields that the day sets -> text.
        fleet: words of the fleet -> values.
        rate: requests a second.
        lasts: how long the load lasts, ns.
        load: words of the load -> values.
        faults: FaultSpec by FaultSpec, in the text's order.
        expect: what the day says of its own judgement -> text.
    """

    name: str = ""
    about: str = ""
    site: str = "pushed"
    site_fields: dict = field(default_factory=dict)
    fleet: dict = field(default_factory=dict)
    rate: float = 50.0
    lasts: int = 20 * SECOND_NS
    load: dict = field(default_factory=dict)
    faults: list = field(default_factory=list)
    expect: dict = field(default_factory=dict)

    @property
    def first_link_fault(self):
        """The first fault that strikes links between processes, or None."""
        return next((fault for fault in self.faults if fault.name in LINKS), None)


@v_args(inline=True)
class DayReader(Transformer):
    """Fills a Day; each method is named after the grammar's rule that it reads.

    Args:
        day: the Day to fill.
        path: the text's file, for errors.
    """

    def __init__(self, day, path):
        super().__init__()
        self.day = day
        self.path = path

    def fail(self, token, text):
        """Raises DayError for the place of a token."""
        raise DayError(f"{self.path}:{token.line}:{token.column}: {text}")

    def pair(self, name, value):
        """name=value."""
        return name, value

    def lasts(self, text):
        """For 5s."""
        return "lasts", parse_duration(str(text))

    def times(self, text):
        """Times 3."""
        return "times", float(text)

    def delay(self, text):
        """By 200ms."""
        return "by", parse_duration(str(text))

    def target(self, token):
        """A share as a float, any other target as its name."""
        return float(token[:-1]) / 100 if token.endswith("%") else str(token)

    def about(self, text):
        """What the day is for."""
        self.day.about = str(text)[1:-1]

    def site(self, name, *pairs):
        """The site, and its fields that the day sets."""
        self.day.site = str(name)
        self.day.site_fields = {str(key).replace("-", "_"): str(value) for key, value in pairs}

    def known(self, pairs, table, where):
        """Yields pairs as text; raises DayError for a name that the table lacks."""
        for name, value in pairs:
            if str(name) not in table:
                self.fail(name, f"{where} knows no '{name}'; it takes {', '.join(table)}")
            yield str(name), str(value)

    def fleet(self, *pairs):
        """The fleet's words."""
        self.day.fleet.update(self.known(pairs, FLEET, "fleet"))

    def load(self, rate, lasts, *pairs):
        """The load's rate, length and words."""
        self.day.rate = float(rate[:-2])
        self.day.lasts = parse_duration(str(lasts))
        self.day.load.update(self.known(pairs, LOAD, "load"))

    def judge(self, *pairs):
        """What the day says of its own judgement."""
        self.day.expect.update((str(key), str(value)) for key, value in pairs)

    def trouble(self, at, name, *parts):
        """One fault: when, its word, and its targets and options in any order."""
        strikes = FAULTS.get(str(name))
        if strikes is None:
            self.fail(name, f"no trouble '{name}'; there are {', '.join(FAULTS)}")
        fault = FaultSpec(parse_duration(str(at)), str(name), [], line=name.line)
        for part in parts:
            if isinstance(part, tuple):
                set_option(fault, *part)
                continue
            if isinstance(part, str) and target_kind(part) not in strikes:
                self.fail(name, f"'{name}' can't strike {part}")
            fault.targets.append(part)
        if strikes != "-" and not fault.targets:
            self.fail(name, f"'{name}' must name what it strikes, as b1, p2, c1, c1>c2 or 20%")
        self.day.faults.append(fault)


def set_option(fault, name, value):
    """Sets a field of a fault that has a word of its own, or one of its other options."""
    if name in ("lasts", "times", "by"):
        setattr(fault, name, value)
    else:
        fault.options[str(name)] = str(value)


@cache
def parser():
    """The parser of day.lark."""
    return Lark((HERE / "day.lark").read_text(), parser="lalr", propagate_positions=True)


def read(text, path="day"):
    """The Day of a text.

    Args:
        text: the day in its notation.
        path: its file, for the day's name and for errors.

    Raises:
        DayError: the text is no day.
    """
    day = Day(name=Path(path).stem, fleet=dict(FLEET), load=dict(LOAD))
    try:
        DayReader(day, path).transform(parser().parse(text + "\n"))
    except UnexpectedInput as error:
        lines = text.split("\n")
        line = lines[error.line - 1] if 0 < error.line <= len(lines) else ""
        raise DayError(
            f"{path}:{error.line}:{error.column}: this can't be read here: {line.strip()}"
        ) from None
    except VisitError as error:
        if isinstance(error.orig_exc, DayError):
            raise error.orig_exc from None
        raise DayError(f"{path}: {error.orig_exc}") from None
    check_targets(day, path)
    return day


def load(path):
    """The Day of a file, or of the name of one that comes with the program. Raises DayError."""
    file = Path(path)
    if not file.suffix and not file.is_file():
        file = HERE / "scripts" / f"{path}.day"
    try:
        return read(file.read_text(), str(file))
    except FileNotFoundError:
        raise DayError(f"{path}: no such day; there are {', '.join(names())}") from None
    except (OSError, UnicodeDecodeError) as error:
        raise DayError(f"{path}: {error}") from None


def names():
    """The names of the days that come with the program."""
    return sorted(file.stem for file in (HERE / "scripts").glob("*.day"))
