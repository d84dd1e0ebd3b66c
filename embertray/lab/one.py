"""`python -m embertray.lab.one`: one run, described as JSON on standard input; its result as JSON on standard output."""
import json
import sys

from ..days import player
from . import experiment, policies


def play(told, run, events=False):
    """The Result of one run."""
    day = told.day_of(run)
    core = policies.core(run.policy)
    stages = []
    if run.policy == "oracle":
        policies.Oracle.truth = staticmethod(lambda: stages[0].models if stages else {})
    return player.play(day, seed=run.seed, core=core, on_stage=stages.append)


def main():
    job = json.load(sys.stdin)
    told = experiment.read(job["text"])
    run = next(run for run in told.runs() if run.key == job["key"])
    json.dump(play(told, run).as_json(), sys.stdout)


if __name__ == "__main__":
    main()
