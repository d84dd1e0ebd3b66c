"""`python -m embertray.platform.run`: one controller in the foreground until SIGTERM.

The file that ROUTER_CONFIG names configures it.
"""

import os
import sys

from .signals import EARLY_SIGNALS  # first: what is imported below takes a while, and a signal may come in it

# isort: split

import anyio
import structlog

from embertray.common.logs import configure_logging
from embertray.common.net.address import parse_address
from embertray.common.net.clock import LoopClock
from embertray.common.net.exceptions import AddressError
from embertray.common.net.tcp import TcpNet
from embertray.controller.exceptions import SettingsError
from embertray.platform.protocol.configuration import read_configuration
from embertray.platform.protocol.exceptions import ConfigurationError

from .service import Service

CONFIGURATION_VARIABLE = "ROUTER_CONFIG"
LOG_LEVEL_VARIABLE = "EMBERTRAY_LOG"
EXIT_OK = 0
EXIT_UNUSABLE = 2  # the configuration, an address or a port can't be used


def load(path):
    """The wire.ControllerConfiguration in a file. Raises ConfigurationError."""
    try:
        with open(path, "rb") as file:
            return read_configuration(file.read())
    except OSError as error:
        raise ConfigurationError(f"configuration: {error}") from None


async def serve(path):
    """Run the controller that the file configures. Raises what Service and `load` raise."""
    service = Service(load(path), LoopClock(), TcpNet(parse_address), lambda: load(path))
    await service.run(early_signals=EARLY_SIGNALS)


def main():
    """Run until a signal ends the process. Returns the exit code if it can't go on."""
    configure_logging("json", os.environ.get(LOG_LEVEL_VARIABLE, "info"))
    log = structlog.get_logger()
    path = os.environ.get(CONFIGURATION_VARIABLE)
    if not path:
        log.error("can't start", why=f"{CONFIGURATION_VARIABLE} names no file")
        return EXIT_UNUSABLE
    exit_code = EXIT_OK
    try:
        anyio.run(serve, path)
    except* (ConfigurationError, SettingsError, AddressError, OSError) as group:
        exit_code = EXIT_UNUSABLE
        log.error("ended", why=[str(error) for error in group.exceptions])
    return exit_code


sys.exit(main())
