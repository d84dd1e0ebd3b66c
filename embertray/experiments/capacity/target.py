"""Loads the description of a target.

It is XML that is checked against target.xsd; further checks cover what a schema cannot express.
"""

from dataclasses import dataclass, replace
from functools import cache
from pathlib import Path

from lxml import etree

PACKAGE_FOLDER = Path(__file__).resolve().parent
OPERATORS = PACKAGE_FOLDER / "samples" / "operators.xml"
UNITS = {"us": 1e-6, "ms": 1e-3, "min": 60.0, "s": 1.0, "h": 3600.0}
SIZES = {"KB": 10**3, "MB": 10**6, "GB": 10**9, "B": 1}
SECONDS_PER_DAY = 86_400

# all assumptions that the table uses
REQUIRED_ASSUMPTIONS = (
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


class TargetError(ValueError):
    """The description cannot be used; the text names the file, the line and what was expected."""


@dataclass(frozen=True)
class Assumption:
    """A value that the target does not name.

    Attributes:
        name: Its name.
        value: The value.
        reason: Why it is assumed.
        vary: Other values for which the table is computed.
    """

    name: str
    value: float
    reason: str
    vary: tuple


@dataclass(frozen=True)
class Target:
    """A target size with its budgets.

    Times are in seconds, sizes in bytes, rates per second unless the name says otherwise. `cores`, `memory`
    and `bytes_a_second` are what one controller may spend for control.
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
        """Returns the value of an assumption."""
        return next(assumption.value for assumption in self.assumptions if assumption.name == name)

    def with_assumed(self, name, value):
        """Returns the same target with another value of one assumption."""
        return replace(
            self,
            assumptions=tuple(
                replace(assumption, value=value) if assumption.name == name else assumption
                for assumption in self.assumptions
            ),
        )

    @property
    def proxies(self):
        """Number of proxies."""
        return self.backends * self.assumed("proxies-per-backend")

    @property
    def proxies_per_controller(self):
        """Number of proxies per controller, rounded."""
        return round(self.proxies / self.controllers)

    @property
    def requests_per_proxy(self):
        """Requests per second of one proxy."""
        return self.requests / self.proxies

    @property
    def changes_a_second(self):
        """Changes of the configuration per second."""
        return self.changes_a_day / SECONDS_PER_DAY

    @property
    def configuration_keys(self):
        """Number of configuration keys: one per service and one per route."""
        return self.services + self.routes


def parse_time(text):
    """Returns a text such as '2.5s' in seconds; the schema has checked its form."""
    unit = next(unit for unit in UNITS if text.endswith(unit))
    return float(text[: -len(unit)]) * UNITS[unit]


def parse_size(text):
    """Returns a text such as '4KB' in bytes; the schema has checked its form."""
    unit = next(unit for unit in SIZES if text.endswith(unit))
    return int(text[: -len(unit)]) * SIZES[unit]


@cache
def schema():
    """Returns the parsed target.xsd."""
    return etree.XMLSchema(etree.parse(PACKAGE_FOLDER / "target.xsd"))


@cache
def pattern_descriptions():
    """Returns {pattern: description} of the schema's types, for error messages."""
    tag = "{http://www.w3.org/2001/XMLSchema}"
    return {
        kind.find(f".//{tag}pattern").get("value"): kind.findtext(f".//{tag}documentation")
        for kind in etree.parse(PACKAGE_FOLDER / "target.xsd").iter(tag + "simpleType")
        if kind.find(f".//{tag}pattern") is not None
    }


def load(path=OPERATORS):
    """Returns the Target of an XML file. Raises TargetError with file, line and what was expected."""
    parser = etree.XMLParser(resolve_entities=False, no_network=True, remove_comments=True)
    try:
        tree = etree.parse(str(path), parser)
    except OSError as error:
        raise TargetError(f"{path}: {error.args[0] if error.args else error}") from None
    except etree.XMLSyntaxError as error:
        raise TargetError(f"{path}:{error.lineno}: not well-formed XML: {error.msg}") from None
    if not schema().validate(tree):
        raise TargetError(f"{path}:{describe_error(schema().error_log[0])}")
    return read(tree.getroot(), path)


def describe_error(error):
    """Returns the line and text of a schema error, with descriptions in place of patterns."""
    description = next(
        (text for pattern, text in pattern_descriptions().items() if f"'{pattern}'" in error.message), None
    )
    if not description:
        return f"{error.line}: {error.message}"
    message = error.message.split(" [facet")[0].split(": [facet")[0]
    return f"{error.line}: {message}: {description} is expected"


def read(root, path):
    """Returns the Target of a validated XML tree; `path` names it in errors. Raises TargetError."""

    def attribute_value(element, attribute, convert=int):
        return convert(root.find(element).get(attribute))

    target = Target(
        name=root.get("name"),
        controllers=attribute_value("fleet", "controllers"),
        backends=attribute_value("fleet", "backends"),
        services=attribute_value("fleet", "services"),
        regions=attribute_value("fleet", "regions"),
        zones=attribute_value("fleet", "zones"),
        control_machines=attribute_value("fleet", "control-machines"),
        requests=attribute_value("requests", "a-second", float),
        routes=attribute_value("requests", "routes"),
        tenants=attribute_value("requests", "tenants"),
        added_at_p99=attribute_value("requests", "added-at-p99", parse_time),
        changes_a_day=attribute_value("configuration", "changes-a-day", float),
        in_force_within=attribute_value("configuration", "in-force-within", parse_time),
        cores=attribute_value("control-budget", "cores", float),
        memory=attribute_value("control-budget", "memory", parse_size),
        bytes_a_second=attribute_value("control-budget", "bytes-a-second", parse_size),
        machines_a_day=attribute_value("failures", "machines-a-day", float),
        restarts_a_day=attribute_value("failures", "restarts-a-day", float),
        racks_a_week=attribute_value("failures", "racks-a-week", float),
        zones_a_year=attribute_value("failures", "zones-a-year", float),
        regions_apart=attribute_value("failures", "regions-apart", parse_time),
        assumptions=tuple(read_assumption(element) for element in root.iterfind("assumptions/assumption")),
    )
    check_assumptions(target, root, path)
    check_fleet_and_times(target, root, path)
    return target


def read_assumption(element):
    """Returns the Assumption of an XML element."""
    vary = tuple(float(value) for value in element.get("vary", "").split())
    return Assumption(element.get("name"), float(element.get("value")), element.get("reason"), vary)


def check_fleet_and_times(target, root, path):
    """Checks what the schema cannot express of the fleet and of times. Raises TargetError."""
    fleet = root.find("fleet")
    if target.zones < target.regions:
        raise TargetError(
            f"{path}:{fleet.sourceline}: {target.zones} zones are fewer than {target.regions} regions: "
            "at least one zone per region is expected"
        )
    if target.controllers > target.proxies:
        raise TargetError(
            f"{path}:{fleet.sourceline}: {target.proxies:.0f} proxies are fewer than {target.controllers} "
            "controllers: at least one per controller is expected"
        )
    for element, attribute in (("requests", "added-at-p99"), ("configuration", "in-force-within")):
        if parse_time(root.find(element).get(attribute)) <= 0:
            raise TargetError(
                f"{path}:{root.find(element).sourceline}: {attribute}: a time over 0 is expected"
            )


def check_assumptions(target, root, path):
    """Checks that exactly the required assumptions are given. Raises TargetError."""
    named = [assumption.name for assumption in target.assumptions]
    line = root.find("assumptions").sourceline
    for name in REQUIRED_ASSUMPTIONS:
        if name not in named:
            raise TargetError(f"{path}:{line}: no assumption '{name}': the table needs its value")
    for element in root.iterfind("assumptions/assumption"):
        if element.get("name") not in REQUIRED_ASSUMPTIONS:
            raise TargetError(
                f"{path}:{element.sourceline}: assumption '{element.get('name')}' is not asked for; "
                f"expected: {', '.join(REQUIRED_ASSUMPTIONS)}"
            )
