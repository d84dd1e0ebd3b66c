"""`python -m embertray.experiments.lab.single_run`: plays one run, described as JSON on standard
input; its result is JSON on standard output.
"""

import json
import sys

from embertray.simulation.emulator.play import play as play_emulated
from embertray.simulation.scenarios import player

from . import experiment, policies


def play(told, run):
    """The Result of one run."""
    day = told.day_of(run)
    core = policies.core(run.policy)
    stages = []
    if run.policy == "oracle":
        policies.Oracle.truth = staticmethod(lambda: stages[0].models if stages else {})
    if told.way == "virtual":
        return player.play(day, seed=run.seed, core=core, on_stage=stages.append)
    return play_emulated(
        day, run.seed, "flows" if told.way == "flows" else "reqs", core, on_stage=stages.append
    )


def main():
    job = json.load(sys.stdin)
    told = experiment.read(job["text"])
    run = next(run for run in told.runs() if run.key == job["key"])
    result = play(told, run)
    json.dump(
        {**result.as_json(), "took": result.latencies.encode().decode(), "line": result.credit_by_second},
        sys.stdout,
    )


if __name__ == "__main__":
    main()
