"""Runs a day without sockets, with single requests or with flows."""

import time

from embertray.simulation.scenarios.result import judge

from .day_simulation import DaySimulation
from .fluid_simulation import FluidSimulation


def play(day, seed=1, fidelity="reqs", core=None, trust=None, on_stage=None, watched=True, progress=None):
    """Runs a day, as scenarios.player.play does on sockets.

    Args:
        day: The Day.
        seed: Seed of all random draws.
        fidelity: "reqs": each request is an object; "flows": requests are flows.
        core: Type of the controllers' core; None: the production one.
        trust: Type that judges the endpoint list in controllers; None: the production one.
        on_stage: Called with the simulation before it begins; or None.
        watched: Whether events are recorded, so that the rules can be checked.
        progress: As in DaySimulation.play.

    Returns:
        The Result.
    """
    began = time.monotonic()
    simulation = {"reqs": DaySimulation, "flows": FluidSimulation}[fidelity](day, seed, core, trust, watched)
    if on_stage:
        on_stage(simulation)
    simulation.play(progress)
    return judge(simulation, {"reqs": "emulated", "flows": "flows"}[fidelity], seed, time.monotonic() - began)
