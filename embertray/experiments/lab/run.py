"""Runs an experiment, each run in its own process: one that dies or hangs becomes a row with its error."""

import json
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path


def source_commit():
    """Returns the commit of the checkout, with "+" if its code has changes; "" outside a checkout."""
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


def run_in_process(experiment, run):
    """Returns (result or None, error or None, wall time in s) of one run."""
    began = time.monotonic()
    request = json.dumps({"text": experiment.text, "key": run.key})
    try:
        process = subprocess.run(
            [sys.executable, "-m", "embertray.experiments.lab.single_run"],
            input=request,
            text=True,
            capture_output=True,
            timeout=experiment.timeout_s,
            cwd=Path(__file__).resolve().parents[3],
        )
    except subprocess.TimeoutExpired:
        return None, f"hung: not done within {experiment.timeout_s} s", time.monotonic() - began
    wall_time_s = time.monotonic() - began
    if process.returncode:
        last_line = (process.stderr.strip().splitlines() or ["no word"])[-1]
        return None, f"died with {process.returncode}: {last_line[:300]}", wall_time_s
    return json.loads(process.stdout), None, wall_time_s


def run(experiment, results, jobs, on_progress=lambda done, total: None):
    """Runs what the results lack, `jobs` processes at a time; their count changes nothing but wall times."""
    finished = results.finished_keys()
    unfinished = [pending for pending in experiment.runs() if pending.key not in finished]
    total, done = len(unfinished) + len(finished), len(finished)
    on_progress(done, total)
    with ThreadPoolExecutor(jobs) as pool:
        run_of_future = {pool.submit(run_in_process, experiment, pending): pending for pending in unfinished}
        for future in as_completed(run_of_future):
            results.add(run_of_future[future], *future.result())
            done += 1
            on_progress(done, total)
