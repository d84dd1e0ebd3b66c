"""Serves as `embertray serve` does, and reports where processor time went.

`python -m embertray.experiments.measure.timed SITE.xml CONTROLLER` prints a JSON line with its addresses at
the start and one at the end (SIGTERM): seconds spent in the decision module, in the codec and in all, and
peak memory.
"""

import json
import resource
import signal
import sys
import time

import anyio

from embertray.common.net.clock import LoopClock
from embertray.common.net.tcp import TcpNet
from embertray.common.snapshots import InMemorySnapshots
from embertray.controller.stream.session import ControllerSession
from embertray.policy import Controller
from embertray.service.daemon import proxy_streams
from embertray.service.daemon.service import Service
from embertray.service.site import load
from embertray.simulation.scenarios.player import error_logger


class PartTimes:
    """Seconds spent in each part of the program."""

    def __init__(self):
        self.seconds = {"module": 0.0, "codec": 0.0}

    def instrument(self, part, function):
        """Returns `function` wrapped so that its time is added to `part`."""

        def timed(*args):
            began = time.perf_counter()
            try:
                return function(*args)
            finally:
                self.seconds[part] += time.perf_counter() - began

        return timed


async def run(site, name):
    """Serves one controller of a site until SIGTERM."""
    service = Service(
        site,
        site.controller(name),
        LoopClock(),
        TcpNet(),
        InMemorySnapshots(),
        1,
        lambda: 0.5,
        error_logger(),
    )

    class Status:
        @staticmethod
        def started(addresses):
            print(json.dumps({"listen": addresses[0], "admin": addresses[1]}), flush=True)

    async def stop():
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                service.stop()

    async with anyio.create_task_group() as group:
        group.start_soon(stop)
        await service.run(task_status=Status)
        group.cancel_scope.cancel()


def main():
    """Instruments the module and the codec, serves, and prints the totals."""
    times, site = PartTimes(), load(sys.argv[1])
    Controller.step = times.instrument("module", Controller.step)
    proxy_streams.encode = times.instrument("codec", proxy_streams.encode)
    ControllerSession.receive = times.instrument("codec", ControllerSession.receive)
    anyio.run(run, site, sys.argv[2], backend_options={"use_uvloop": True})
    used = resource.getrusage(resource.RUSAGE_SELF)
    print(
        json.dumps({**times.seconds, "cpu": used.ru_utime + used.ru_stime, "peak_kib": used.ru_maxrss}),
        flush=True,
    )


if __name__ == "__main__":
    main()
