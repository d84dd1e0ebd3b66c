"""Slopes with where they come from: command, commit, machine, date."""

import os
import platform
import subprocess
import time
from pathlib import Path

import psutil

from embertray.experiments.capacity.slope import Slope, save

FOLDER = Path("docs/measured/capacity")


def machine():
    memory = psutil.virtual_memory().total / 2**30
    return f"{os.cpu_count()} shared cores, {memory:.0f} GiB, Python {platform.python_version()}"


def git(*arguments):
    try:
        return subprocess.run(["git", *arguments], capture_output=True, text=True, check=False)
    except OSError:
        return None


def commit():
    """The text that ran; `+` where files under embertray/ other than measurements differ from it."""
    head = git("rev-parse", "--short", "HEAD")
    if head is None or head.returncode:
        return "not known"
    parts = ("embertray", ":!embertray/experiments/measure", ":!embertray/experiments/capacity")
    return head.stdout.strip() + ("+" if git("diff", "--quiet", "HEAD", "--", *parts).returncode else "")


class Recording:
    """The slopes of one command."""

    def __init__(self, command, folder=FOLDER):
        self.command, self.folder, self.commit = command, folder, commit()

    def save(self, name, unit, size_of, points, note=""):
        load = os.getloadavg()[0]
        save(
            self.folder,
            Slope(
                name,
                unit,
                size_of,
                sorted(points, key=lambda point: point[0]),
                self.command,
                self.commit,
                machine(),
                time.strftime("%Y-%m-%d"),
                "measured",
                f"{note}{'; ' if note else ''}load of the machine at the end {load:.1f}",
            ),
        )
        print(f"{name}: " + ", ".join(f"{size:g}: {value:.4g}" for size, value in points), flush=True)
