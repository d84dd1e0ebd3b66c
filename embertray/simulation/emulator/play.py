"""Plays a day without streams, req by req or as flows."""

import time

from embertray.simulation.scenarios.result import judge

from .day_simulation import DaySimulation
from .fluid import FluidSimulation


def play(day, seed=1, fidelity="reqs", core=None, trust=None, on_stage=None, watched=True, progress=None):
    """Plays a Day and gives its Result, as days.player.play does. `fidelity`: reqs, each an object, or
    flows.
    """
    began = time.monotonic()
    simulation = {"reqs": DaySimulation, "flows": FluidSimulation}[fidelity](day, seed, core, trust, watched)
    if on_stage:
        on_stage(simulation)
    simulation.play(progress)
    return judge(simulation, {"reqs": "emulated", "flows": "flows"}[fidelity], seed, time.monotonic() - began)
