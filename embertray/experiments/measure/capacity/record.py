"""Saves slopes with their origin: command, commit, machine and date."""

import os
import platform
import subprocess
import time
from pathlib import Path

import psutil

from embertray.experiments.capacity.slope import Slope, save

FOLDER = Path("docs/measured/capacity")


def describe_machine():
    """Describes the machine's cores, memory and Python version."""
    memory = psutil.virtual_memory().total / 2**30
    return f"{os.cpu_count()} shared cores, {memory:.0f} GiB, Python {platform.python_version()}"


def git(*arguments):
    """Runs git; returns None if it is not installed."""
    try:
        return subprocess.run(["git", *arguments], capture_output=True, text=True, check=False)
    except OSError:
        return None


def commit():
    """Returns the short hash of the commit that runs.

    A `+` follows if files under embertray/ other than the measurements differ from it.
    """
    head = git("rev-parse", "--short", "HEAD")
    if head is None or head.returncode:
        return "not known"
    parts = ("embertray", ":!embertray/experiments/measure", ":!embertray/experiments/capacity")
    return head.stdout.strip() + ("+" if git("diff", "--quiet", "HEAD", "--", *parts).returncode else "")


class Recording:
    """Saves the slopes that one command measures."""

    def __init__(self, command, folder=FOLDER):
        self.command, self.folder, self.commit = command, folder, commit()

    def save(self, name, unit, size_of, points, note=""):
        """Saves one slope and prints its points."""
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
                describe_machine(),
                time.strftime("%Y-%m-%d"),
                "measured",
                f"{note}{'; ' if note else ''}load of the machine at the end {load:.1f}",
            ),
        )
        print(f"{name}: " + ", ".join(f"{size:g}: {value:.4g}" for size, value in points), flush=True)
