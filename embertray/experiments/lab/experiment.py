"""Reads an experiment (XML checked against lab.xsd) and lists its runs: all levels, arms and seeds."""

import itertools
import string
from dataclasses import dataclass
from functools import cache
from pathlib import Path

from lxml import etree

from embertray.simulation.scenarios import notation

PACKAGE_FOLDER = Path(__file__).resolve().parent


class ExperimentError(ValueError):
    """The experiment cannot be used; the text names the file, the line and what was expected."""


@dataclass(frozen=True)
class Run:
    """One simulation of the experiment: a level of each factor, an arm and a seed."""

    levels: tuple  # ((factor, level), ...)
    arm: str
    policy: str
    facts: str
    seed: int

    @property
    def key(self):
        """The name of the run in a results file."""
        return ";".join([*(f"{k}={v}" for k, v in self.levels), self.arm, str(self.seed)])


@dataclass(frozen=True)
class Experiment:
    """The content of an experiment file."""

    name: str
    about: str
    text: str  # the whole file, stored with the results
    day: str  # text of the day, with $factor placeholders
    factors: tuple  # ((name, (level, ...)), ...)
    arms: tuple  # ((name, policy, facts), ...)
    seeds: tuple
    timeout_s: int  # wall time that a run may take
    simulator: str = "virtual"  # virtual | emulated | flows

    def runs(self):
        """Yields all runs; every arm has the same seeds, so that arms meet the same requests and faults."""
        for levels in itertools.product(
            *(tuple((name, level) for level in factor_levels) for name, factor_levels in self.factors)
        ):
            for seed in self.seeds:
                for arm, policy, facts in self.arms:
                    yield Run(levels, arm, policy, facts, seed)

    def day_of(self, run):
        """Returns the Day of a run, with its levels and its arm's facts. Raises notation.DayError."""
        text = string.Template(self.day).substitute(dict(run.levels))
        if run.facts:
            facts = string.Template(run.facts).substitute(dict(run.levels))
            text = text.replace("\nfleet", f" {facts}\nfleet", 1)
        return notation.read(text, f"{self.name}.day")


@cache
def schema():
    """Returns the parsed lab.xsd."""
    return etree.XMLSchema(etree.parse(PACKAGE_FOLDER / "lab.xsd"))


def load(path):
    """Returns the Experiment of a file, or of a built-in experiment by its name. Raises ExperimentError."""
    file = Path(path)
    if not file.suffix and not file.is_file():
        file = PACKAGE_FOLDER / "experiments" / f"{path}.xml"
    try:
        text = file.read_text()
    except OSError as error:
        raise ExperimentError(
            f"{path}: {error.strerror}; built-in experiments: "
            f"{', '.join(sorted(p.stem for p in (PACKAGE_FOLDER / 'experiments').glob('*.xml')))}"
        ) from None
    return read(text, str(file))


def read(text, path="experiment"):
    """Returns the Experiment of an XML text; `path` names it in errors. Raises ExperimentError."""
    try:
        root = etree.fromstring(text.encode(), etree.XMLParser(resolve_entities=False, no_network=True))
    except etree.XMLSyntaxError as error:
        raise ExperimentError(f"{path}:{error.lineno}: not well-formed XML: {error.msg}") from None
    if not schema().validate(root):
        first = schema().error_log[0]
        raise ExperimentError(f"{path}:{first.line}: {first.message}")
    seeds = root.find("seeds")
    first, last = int(seeds.get("from", "1")), int(seeds.get("to"))
    day = "\n".join(row.strip() for row in root.findtext("day").strip().split("\n"))
    experiment = Experiment(
        root.get("name"),
        (root.findtext("about") or "").strip(),
        text,
        day,
        tuple((f.get("name"), tuple(level.text.strip() for level in f)) for f in root.iterfind("factor")),
        tuple((a.get("name"), a.get("policy"), a.get("facts", "")) for a in root.iterfind("arm")),
        tuple(range(first, last + 1)),
        int(root.get("seconds", "120")),
        root.get("way", "virtual"),
    )
    try:
        for run in experiment.runs():
            if run.seed == first:
                experiment.day_of(run)
    except (notation.DayError, KeyError, ValueError) as error:
        raise ExperimentError(
            f"{path}:{root.find('day').sourceline}: the day can't be used: {error}"
        ) from None
    return experiment
