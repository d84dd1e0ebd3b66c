"""Parses a day's text; day.lark is the grammar.

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
        at: when it begins, ns from the start of the load.
        name: its word in the notation.
        targets: names (b1, p2, c1), links (c1>c2, c1<>list), or shares of all backends or proxies as floats.
        lasts: its duration, ns.
        times: a count or a factor, depending on the fault.
        by: its delay or the time between its steps, ns.
        options: other settings -> values as text.
        line: its line number in the text.
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
    """A parsed day.

    Attributes:
        name: the name of its file.
        about: its purpose.
        site: name or path of the site file.
        site_fields: site fields that the day overrides -> values as text.
        fleet: settings of the fleet -> values.
        rate: requests a second.
        lasts: duration of the load, ns.
        load: settings of the load -> values.
        faults: the FaultSpecs, in the order of the text.
        expect: expected results -> values as text.
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
        """The first fault of links between processes, or None."""
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
        """Returns a setting, `name=value`, as a pair."""
        return name, value

    def lasts(self, text):
        """Returns a duration, as `for 5s`."""
        return "lasts", parse_duration(str(text))

    def times(self, text):
        """Returns a count or factor, as `times 3`."""
        return "times", float(text)

    def delay(self, text):
        """Returns a delay, as `by 200ms`."""
        return "by", parse_duration(str(text))

    def target(self, token):
        """Returns a share as a float, any other target as its name."""
        return float(token[:-1]) / 100 if token.endswith("%") else str(token)

    def about(self, text):
        """Sets the day's purpose."""
        self.day.about = str(text)[1:-1]

    def site(self, name, *pairs):
        """Sets the site, and the fields that the day overrides."""
        self.day.site = str(name)
        self.day.site_fields = {str(key).replace("-", "_"): str(value) for key, value in pairs}

    def known(self, pairs, table, where):
        """Yields settings as text. Raises DayError for a name that is not in `table`."""
        for name, value in pairs:
            if str(name) not in table:
                self.fail(name, f"{where} knows no '{name}'; it takes {', '.join(table)}")
            yield str(name), str(value)

    def fleet(self, *pairs):
        """Sets the settings of the fleet."""
        self.day.fleet.update(self.known(pairs, FLEET, "fleet"))

    def load(self, rate, lasts, *pairs):
        """Sets the rate, duration and settings of the load."""
        self.day.rate = float(rate[:-2])
        self.day.lasts = parse_duration(str(lasts))
        self.day.load.update(self.known(pairs, LOAD, "load"))

    def judge(self, *pairs):
        """Sets the expected results."""
        self.day.expect.update((str(key), str(value)) for key, value in pairs)

    def trouble(self, at, name, *parts):
        """Adds a fault; its targets and options come in any order."""
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
    """Sets a field of a fault if it has one of that name, otherwise one of its options."""
    if name in ("lasts", "times", "by"):
        setattr(fault, name, value)
    else:
        fault.options[str(name)] = str(value)


@cache
def parser():
    """Returns the parser for day.lark."""
    return Lark((HERE / "day.lark").read_text(), parser="lalr", propagate_positions=True)


def read(text, path="day"):
    """Parses a text.

    Args:
        text: the day in its notation.
        path: its file, for the day's name and for errors.

    Raises:
        DayError: the text is not a valid day.
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
    """Loads a Day from a file, or a built-in day by its name. Raises DayError."""
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
    """Returns the names of the built-in days."""
    return sorted(file.stem for file in (HERE / "scripts").glob("*.day"))
