"""`python -m embertray.experiments.lab.single_run` plays one run.

Standard input: a JSON object with the text of the experiment and the key of the run. Standard output: the
result as a JSON object.
"""

import json
import sys

from embertray.simulation.emulator.play import play as play_emulated
from embertray.simulation.scenarios import player

from . import experiment, policies


def play(definition, run):
    """Plays one run of an experiment and returns its Result."""
    day = definition.day_of(run)
    core = policies.core(run.policy)
    simulations = []
    if run.policy == "oracle":
        policies.Oracle.backend_models = staticmethod(lambda: simulations[0].models if simulations else {})
    if definition.simulator == "virtual":
        return player.play(day, seed=run.seed, core=core, on_stage=simulations.append)
    return play_emulated(
        day,
        run.seed,
        "flows" if definition.simulator == "flows" else "reqs",
        core,
        on_stage=simulations.append,
    )


def main():
    """Reads the request from standard input and writes the result to standard output."""
    request = json.load(sys.stdin)
    definition = experiment.read(request["text"])
    run = next(run for run in definition.runs() if run.key == request["key"])
    result = play(definition, run)
    json.dump(
        {**result.as_json(), "took": result.latencies.encode().decode(), "line": result.credit_by_second},
        sys.stdout,
    )


if __name__ == "__main__":
    main()
