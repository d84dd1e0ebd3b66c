"""Recordings that keep the points of sizes that are not measured again."""

from pathlib import Path

from embertray.experiments.capacity.slope import load
from embertray.experiments.measure.capacity.record import Recording


class MergingRecording(Recording):
    """Merges new points into a recorded slope.

    Points of sizes that are not measured again stay; the note names their commit and command.
    """

    def save(self, name, unit, size_of, points, note=""):
        """Writes a slope, together with the recorded points of other sizes."""
        path = Path(self.folder) / f"{name}.json"
        if path.exists():
            former = load(path)
            sizes = {size for size, _ in points}
            kept = [point for point in former.points if point[0] not in sizes]
            if kept:
                listed = ", ".join(f"{size:g}" for size, _ in kept)
                note = f"{note}; sizes {listed} of commit {former.commit} by {former.command} ({former.note})"
            points = kept + list(points)
        super().save(name, unit, size_of, points, note)
