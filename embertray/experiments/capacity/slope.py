"""Slopes: measurements of how a quantity grows with a size.

Each is a JSON file (docs/measured/capacity/README.md).
"""

from collections import defaultdict
from pathlib import Path
from statistics import median
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Text = Annotated[str, Meta(min_length=1)]
Size = Annotated[float, Meta(gt=0)]


class SlopeError(ValueError):
    """The file of a slope cannot be used; the text names the file and what is wrong."""


class Slope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A quantity measured at several sizes.

    Attributes:
        name: Its name, which is also the name of its file.
        unit: The unit of the values.
        n: What the sizes count.
        points: (size, value); a size may be repeated.
        command: The command that measured it.
        commit: The commit that was measured.
        machine: The machine on which it was measured.
        date: The day of the measurement.
        origin: "reported" if it was taken over and not measured again.
        note: Further remarks.
    """

    name: Text
    unit: Text
    n: Text
    points: Annotated[list[tuple[Size, float]], Meta(min_length=1)]
    command: Text
    commit: Text
    machine: Text
    date: Text
    origin: Literal["measured", "reported"] = "measured"
    note: str = ""

    def medians(self):
        """Returns (size, median value) of each size, smallest first."""
        by_size = defaultdict(list)
        for size, value in self.points:
            by_size[size].append(value)
        return [(size, median(values)) for size, values in sorted(by_size.items())]


def load(path):
    """Reads the Slope of a file. Raises SlopeError."""
    path = Path(path)
    try:
        slope = msgspec.json.decode(path.read_bytes(), type=Slope)
    except OSError as error:
        raise SlopeError(f"{path}: {error.strerror}") from None
    except msgspec.DecodeError as error:
        raise SlopeError(f"{path}: {error}") from None
    if slope.name != path.stem:
        raise SlopeError(f"{path}: its name '{slope.name}' is not that of the file")
    return slope


def load_all(folder):
    """Returns {name: Slope} of all files of a folder. Raises SlopeError."""
    if not Path(folder).is_dir():
        raise SlopeError(f"{folder}: no such folder")
    return {path.stem: load(path) for path in sorted(Path(folder).glob("*.json"))}


def save(folder, slope):
    """Writes the file of a slope, each key and point on its own line so that differences are readable."""
    points = ",\n".join(f"    [{size:g}, {value:.6g}]" for size, value in slope.points)
    rows = [
        f'  "points": [\n{points}\n  ]'
        if key == "points"
        else f'  "{key}": {msgspec.json.encode(value).decode()}'
        for key, value in msgspec.to_builtins(slope).items()
    ]
    (Path(folder) / f"{slope.name}.json").write_text("{\n" + ",\n".join(rows) + "\n}\n")
