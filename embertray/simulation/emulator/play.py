"""Plays a day without sockets, request by request or as flows."""

import time

from embertray.simulation.scenarios.result import judge

from .day_simulation import DaySimulation
from .fluid_simulation import FluidSimulation


def play(day, seed=1, fidelity="reqs", core=None, trust=None, on_stage=None, watched=True, progress=None):
    """Plays a day, as scenarios.player.play does on sockets.

    Args:
        day: The Day.
        seed: Of all random draws.
        fidelity: "reqs": each request is an object; "flows": they are masses.
        core: Type of the controllers' core; None: the production one.
        trust: Type of their judgement of the endpoint list; None: the production one.
        on_stage: Called with the simulation before it begins; or None.
        watched: Whether events are recorded, for the rules' judgement.
        progress: As DaySimulation.play has it.

    Returns:
        The Result.
    """
    began = time.monotonic()
    simulation = {"reqs": DaySimulation, "flows": FluidSimulation}[fidelity](day, seed, core, trust, watched)
    if on_stage:
        on_stage(simulation)
    simulation.play(progress)
    return judge(simulation, {"reqs": "emulated", "flows": "flows"}[fidelity], seed, time.monotonic() - began)
