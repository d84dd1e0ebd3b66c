"""Loads the description of a target: XML checked against target.xsd by lxml, then the checks that a schema
can't state.
"""

from dataclasses import dataclass, replace
from functools import cache
from pathlib import Path

from lxml import etree

HERE = Path(__file__).resolve().parent
OPERATORS = HERE / "samples" / "operators.xml"
UNITS = {"us": 1e-6, "ms": 1e-3, "min": 60.0, "s": 1.0, "h": 3600.0}
SIZES = {"KB": 10**3, "MB": 10**6, "GB": 10**9, "B": 1}
DAY = 86_400

# every assumption that the table asks for
NEEDED = (
    "proxies-per-backend",
    "entry-bytes",
    "changes-in-worst-10s",
    "machines-in-a-rack",
    "restarts-bunched",
    "facts-bytes",
    "limits",
    "control-machine-cores",
    "control-machine-memory-mb",
    "control-machine-bytes-a-second",
)


class BadTarget(ValueError):
    """The description can't be used; the text names file, line and what was expected."""


@dataclass(frozen=True)
class Assumption:
    """What the target does not name: its value, why, and what else it is looked at with."""

    name: str
    value: float
    reason: str
    vary: tuple


@dataclass(frozen=True)
class Target:
    """Times in seconds, sizes in bytes, rates a second where nothing else is said. `cores`, `memory` and
    `bytes_a_second` are what one controller may spend for control.
    """

    name: str
    controllers: int
    backends: int
    services: int
    regions: int
    zones: int
    control_machines: int
    requests: float
    routes: int
    tenants: int
    added_at_p99: float
    changes_a_day: float
    in_force_within: float
    cores: float
    memory: int
    bytes_a_second: int
    machines_a_day: float
    restarts_a_day: float
    racks_a_week: float
    zones_a_year: float
    regions_apart: float
    assumptions: tuple

    def assumed(self, name):
        return next(one.value for one in self.assumptions if one.name == name)

    def with_assumed(self, name, value):
        """The same target with another value of one assumption."""
        return replace(
            self,
            assumptions=tuple(
                replace(one, value=value) if one.name == name else one for one in self.assumptions
            ),
        )

    @property
    def proxies(self):
        return self.backends * self.assumed("proxies-per-backend")

    @property
    def proxies_per_controller(self):
        return round(self.proxies / self.controllers)

    @property
    def requests_per_proxy(self):
        return self.requests / self.proxies

    @property
    def changes_a_second(self):
        return self.changes_a_day / DAY

    @property
    def configuration_keys(self):
        """One entry a service and one a route."""
        return self.services + self.routes


def time(text):
    """'2.5s' in seconds; the schema has checked its form."""
    unit = next(unit for unit in UNITS if text.endswith(unit))
    return float(text[: -len(unit)]) * UNITS[unit]


def size(text):
    """'4KB' in bytes."""
    unit = next(unit for unit in SIZES if text.endswith(unit))
    return int(text[: -len(unit)]) * SIZES[unit]


@cache
def schema():
    return etree.XMLSchema(etree.parse(HERE / "target.xsd"))


@cache
def expected():
    """What a pattern of the schema stands for, in words: pattern -> its type's documentation."""
    tag = "{http://www.w3.org/2001/XMLSchema}"
    return {
        kind.find(f".//{tag}pattern").get("value"): kind.findtext(f".//{tag}documentation")
        for kind in etree.parse(HERE / "target.xsd").iter(tag + "simpleType")
        if kind.find(f".//{tag}pattern") is not None
    }


def load(path=OPERATORS):
    """The Target of an XML file. Raises BadTarget with file, line and what was expected."""
    parser = etree.XMLParser(resolve_entities=False, no_network=True, remove_comments=True)
    try:
        tree = etree.parse(str(path), parser)
    except OSError as error:
        raise BadTarget(f"{path}: {error.args[0] if error.args else error}") from None
    except etree.XMLSyntaxError as error:
        raise BadTarget(f"{path}:{error.lineno}: not well-formed XML: {error.msg}") from None
    if not schema().validate(tree):
        raise BadTarget(f"{path}:{explained(schema().error_log[0])}")
    return read(tree.getroot(), path)


def explained(error):
    """Line and text of a schema's error; a pattern is told in words."""
    words = next((text for pattern, text in expected().items() if f"'{pattern}'" in error.message), None)
    if not words:
        return f"{error.line}: {error.message}"
    said = error.message.split(" [facet")[0].split(": [facet")[0]
    return f"{error.line}: {said}: {words} is expected"


def read(root, path):
    def fact(element, attribute, convert=int):
        return convert(root.find(element).get(attribute))

    target = Target(
        name=root.get("name"),
        controllers=fact("fleet", "controllers"),
        backends=fact("fleet", "backends"),
        services=fact("fleet", "services"),
        regions=fact("fleet", "regions"),
        zones=fact("fleet", "zones"),
        control_machines=fact("fleet", "control-machines"),
        requests=fact("requests", "a-second", float),
        routes=fact("requests", "routes"),
        tenants=fact("requests", "tenants"),
        added_at_p99=fact("requests", "added-at-p99", time),
        changes_a_day=fact("configuration", "changes-a-day", float),
        in_force_within=fact("configuration", "in-force-within", time),
        cores=fact("control-budget", "cores", float),
        memory=fact("control-budget", "memory", size),
        bytes_a_second=fact("control-budget", "bytes-a-second", size),
        machines_a_day=fact("failures", "machines-a-day", float),
        restarts_a_day=fact("failures", "restarts-a-day", float),
        racks_a_week=fact("failures", "racks-a-week", float),
        zones_a_year=fact("failures", "zones-a-year", float),
        regions_apart=fact("failures", "regions-apart", time),
        assumptions=tuple(assumption(element) for element in root.iterfind("assumptions/assumption")),
    )
    check_assumptions(target, root, path)
    check(target, root, path)
    return target


def assumption(element):
    vary = tuple(float(value) for value in element.get("vary", "").split())
    return Assumption(element.get("name"), float(element.get("value")), element.get("reason"), vary)


def check(target, root, path):
    """What the schema can't state."""
    fleet = root.find("fleet")
    if target.zones < target.regions:
        raise BadTarget(
            f"{path}:{fleet.sourceline}: {target.zones} zones can't make {target.regions} regions: "
            "as many zones as regions are expected at least"
        )
    if target.controllers > target.proxies:
        raise BadTarget(
            f"{path}:{fleet.sourceline}: {target.proxies:.0f} proxies are fewer than {target.controllers} "
            "controllers: one a controller is expected at least"
        )
    for element, attribute in (("requests", "added-at-p99"), ("configuration", "in-force-within")):
        if time(root.find(element).get(attribute)) <= 0:
            raise BadTarget(f"{path}:{root.find(element).sourceline}: {attribute}: a time over 0 is expected")


def check_assumptions(target, root, path):
    named = [one.name for one in target.assumptions]
    line = root.find("assumptions").sourceline
    for name in NEEDED:
        if name not in named:
            raise BadTarget(f"{path}:{line}: no assumption '{name}': the table asks for its value")
    for element in root.iterfind("assumptions/assumption"):
        if element.get("name") not in NEEDED:
            raise BadTarget(
                f"{path}:{element.sourceline}: assumption '{element.get('name')}' is not asked for; "
                f"expected: {', '.join(NEEDED)}"
            )
