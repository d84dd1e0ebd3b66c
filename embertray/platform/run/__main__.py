"""`python -m embertray.platform.run`: runs one controller in the foreground until SIGTERM.

The environment variable ROUTER_CONFIG is the path of its configuration file.
"""

import os
import sys

from .signals import EARLY_SIGNALS  # first: the imports below take a while, and a signal may arrive meanwhile

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
EXIT_UNUSABLE = 2  # the configuration, an address or a port is unusable


def load(path):
    """Read a wire.ControllerConfiguration from a file. Raises ConfigurationError."""
    try:
        with open(path, "rb") as file:
            return read_configuration(file.read())
    except OSError as error:
        raise ConfigurationError(f"configuration: {error}") from None


async def serve(path):
    """Run the controller configured by the file. Raises the errors of Service and `load`."""
    service = Service(load(path), LoopClock(), TcpNet(parse_address), lambda: load(path))
    await service.run(early_signals=EARLY_SIGNALS)


def main():
    """Run until a signal ends the process. Returns the exit code if it can't continue."""
    configure_logging("json", os.environ.get(LOG_LEVEL_VARIABLE, "info"))
    log = structlog.get_logger()
    path = os.environ.get(CONFIGURATION_VARIABLE)
    if not path:
        log.error("can't start", why=f"{CONFIGURATION_VARIABLE} is not set")
        return EXIT_UNUSABLE
    exit_code = EXIT_OK
    try:
        anyio.run(serve, path)
    except* (ConfigurationError, SettingsError, AddressError, OSError) as group:
        exit_code = EXIT_UNUSABLE
        log.error("ended", why=[str(error) for error in group.exceptions])
    return exit_code


sys.exit(main())
