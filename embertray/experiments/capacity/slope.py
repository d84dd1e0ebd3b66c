"""Slopes: how one quantity grew with one size, as it was measured. One JSON file each
(docs/measured/capacity/README.md).
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
    """A slope's file can't be used; the text names the file and what is wrong."""


class Slope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`points`: (size, value), sizes may be repeated. `origin`: reported ones were not measured again."""

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
        """(size, median value) of each size, smallest first."""
        by_size = defaultdict(list)
        for size, value in self.points:
            by_size[size].append(value)
        return [(size, median(values)) for size, values in sorted(by_size.items())]


def load(path):
    """The Slope of a file. Raises BadSlope."""
    path = Path(path)
    try:
        slope = msgspec.json.decode(path.read_bytes(), type=Slope)
    except OSError as error:
        raise SlopeError(f"{path}: {error.strerror}") from None
    except msgspec.DecodeError as error:
        raise SlopeError(f"{path}: {error}") from None
    if slope.name != path.stem:
        raise SlopeError(f"{path}: its name is '{slope.name}', not that of the file")
    return slope


def load_all(folder):
    """name -> Slope of a folder's files. Raises BadSlope."""
    if not Path(folder).is_dir():
        raise SlopeError(f"{folder}: no such folder of slopes")
    return {path.stem: load(path) for path in sorted(Path(folder).glob("*.json"))}


def save(folder, slope):
    """Writes a slope's file: keys and points a line each, so that changes can be read."""
    points = ",\n".join(f"    [{size:g}, {value:.6g}]" for size, value in slope.points)
    rows = [
        f'  "points": [\n{points}\n  ]'
        if key == "points"
        else f'  "{key}": {msgspec.json.encode(value).decode()}'
        for key, value in msgspec.to_builtins(slope).items()
    ]
    (Path(folder) / f"{slope.name}.json").write_text("{\n" + ",\n".join(rows) + "\n}\n")
