"""`python -m embertray.platform.run`: one real controller, told by ROUTER_CONFIG, in the foreground until
SIGTERM."""

import os
import sys

from .early import EARLY  # first: what is imported below takes a while, and a signal may come in it

# isort: split

import anyio
import structlog

from embertray.common.logs import set_up
from embertray.common.net.address import BadAddress, plain
from embertray.common.net.clock import LoopClock
from embertray.common.net.tcp import TcpNet
from embertray.controller.settings import BadSettings
from embertray.platform.protocol.start import BadStart, read

from .service import Service


def load(path):
    """The platform.start.Start in a file. Raises BadStart."""
    try:
        with open(path, "rb") as file:
            return read(file.read())
    except OSError as wrong:
        raise BadStart(f"configuration: {wrong}") from None


async def serve(path):
    await Service(load(path), LoopClock(), TcpNet(plain), lambda: load(path)).run(early=EARLY)


def main():
    set_up("json", os.environ.get("EMBERTRAY_LOG", "info"))
    log = structlog.get_logger()
    if not (path := os.environ.get("ROUTER_CONFIG")):
        log.error("can't start", why="ROUTER_CONFIG names no file")
        return 2
    failed = []
    try:
        anyio.run(serve, path)
    except* (BadStart, BadSettings, BadAddress, OSError) as wrong:
        failed += wrong.exceptions
        log.error("ended", why=[str(one) for one in failed])
    return 2 if failed else 0


sys.exit(main())
