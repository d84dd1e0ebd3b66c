"""Plays a day with real controllers, and judges it by what the sockets carried.

There are three modes, with the same stand-ins and the same daemon. `virtual` has streams in memory and
virtual time, and the seed determines the run. `sockets` uses loopback TCP in real time, with a process for
each controller. `processes` adds relays for the links between the processes, to the endpoint list and from
the proxies, and a cluster if the day has one.
"""

import logging
import tempfile
import time
from pathlib import Path

import anyio
import structlog

from embertray.common.net.clock import LoopClock
from embertray.common.net.tcp import TcpNet
from embertray.simulation.standins.memory_net import MemoryNet
from embertray.simulation.standins.virtual_time import VirtualClock, run as run_virtual

from .controllers import InMemoryControllers
from .exceptions import DayError
from .result import judge
from .stage import Stage


def error_logger():
    """Returns a logger for controllers in simulations that logs errors only."""
    return structlog.wrap_logger(
        structlog.PrintLogger(), wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )


def play(
    day, mode="virtual", seed=1, progress=None, core=None, trust=None, on_stage=None, alone=False, logs=None
):
    """Plays a day.

    Args:
        day: the Day.
        mode: virtual, sockets or processes.
        seed: the seed of all draws.
        progress: called with (seconds played, seconds of the load, requests ended), or None.
        core: a class in place of ControllerCore; virtual only.
        trust: a class in place of Trust; virtual only.
        on_stage: called with the Stage before the day begins, or None.
        alone: whether processes run without the cluster that the day has.
        logs: a folder for the processes' site files and logs, or None: they are deleted.

    Returns:
        The day's Result.

    Raises:
        DayError: the day cannot be played in this mode.
    """
    began = time.monotonic()
    if mode != "processes" and (fault := day.first_link_fault):
        raise DayError(
            f"{day.name}: line {fault.line}: '{fault.name}' strikes links between processes: play "
            "it with --processes"
        )
    if mode == "virtual":
        stage = play_in_memory(day, seed, progress, core, trust, on_stage)
    else:
        stage = play_on_sockets(day, mode, seed, progress, on_stage, alone, logs)
    return judge(stage, mode, seed, time.monotonic() - began)


def play_in_memory(day, seed, progress, core, trust, on_stage):
    """Plays a day under the virtual clock and returns its Stage; arguments as of `play`."""

    async def main():
        net = MemoryNet()
        clock = VirtualClock()
        controllers = InMemoryControllers(net, clock, seed, error_logger(), core, trust)
        return await play_stage(Stage(day, seed, net, clock, controllers, progress), on_stage)

    return run_virtual(main)


def play_on_sockets(day, mode, seed, progress, on_stage, alone, logs):
    """Plays a day in real time and returns its Stage; arguments as of `play`."""
    # imported here because plays in memory need no processes
    from embertray.simulation.processes.controller_processes import ControllerProcesses
    from embertray.simulation.processes.linked_controller_processes import LinkedControllerProcesses

    async def main():
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(logs or temporary)
            folder.mkdir(parents=True, exist_ok=True)
            if mode == "sockets":
                controllers = ControllerProcesses(seed, folder)
            else:
                clustered = day.fleet["cluster"] == "yes" and not alone
                controllers = LinkedControllerProcesses(seed, folder, clustered)
            return await play_stage(Stage(day, seed, TcpNet(), LoopClock(), controllers, progress), on_stage)

    return anyio.run(main)


async def play_stage(stage, on_stage):
    """Calls `on_stage`, if there is one, plays the day on the stage and returns the stage."""
    if on_stage:
        on_stage(stage)
    await stage.play()
    return stage
