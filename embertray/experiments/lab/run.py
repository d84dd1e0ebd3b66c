"""Runs an experiment: each run a process of its own, so that one that dies or hangs is a row with its
error.
"""

import json
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path


def commit():
    """The checkout's commit, with + if it has changes; "" outside one."""
    root = Path(__file__).resolve().parents[3]
    try:
        head = subprocess.run(
            ["git", "rev-parse", "--short", "HEAD"], cwd=root, capture_output=True, text=True, check=True
        )
        dirty = subprocess.run(
            ["git", "status", "--porcelain", "--", "embertray"], cwd=root, capture_output=True, text=True
        )
        return head.stdout.strip() + ("+" if dirty.stdout.strip() else "")
    except (OSError, subprocess.CalledProcessError):
        return ""


def one(experiment, run):
    """(result or None, error or None, seconds)"""
    began = time.monotonic()
    job = json.dumps({"text": experiment.text, "key": run.key})
    try:
        done = subprocess.run(
            [sys.executable, "-m", "embertray.experiments.lab.single_run"],
            input=job,
            text=True,
            capture_output=True,
            timeout=experiment.timeout_s,
            cwd=Path(__file__).resolve().parents[3],
        )
    except subprocess.TimeoutExpired:
        return None, f"hung: not done within {experiment.timeout_s} s", time.monotonic() - began
    wall = time.monotonic() - began
    if done.returncode:
        last = (done.stderr.strip().splitlines() or ["no word"])[-1]
        return None, f"died with {done.returncode}: {last[:300]}", wall
    return json.loads(done.stdout), None, wall


def run(experiment, results, jobs, on_progress=lambda done, total: None):
    """Plays what is missing in the results. How many processes there are changes nothing in the rows but wall
    times.
    """
    have = results.done()
    todo = [found for found in experiment.runs() if found.key not in have]
    total, done = len(todo) + len(have), len(have)
    on_progress(done, total)
    with ThreadPoolExecutor(jobs) as pool:
        waiting = {pool.submit(one, experiment, found): found for found in todo}
        for future in as_completed(waiting):
            results.add(waiting[future], *future.result())
            done += 1
            on_progress(done, total)
