"""Reads a controller's configuration at startup and on SIGHUP, and checks its settings."""

import msgspec

from embertray.controller.exceptions import SettingsError
from embertray.controller.settings import PEER_MESSAGES_KEY, PROBES_KEY, SLICES_KEY

from .exceptions import ConfigurationError
from .wire import configuration_decoder

UNSUPPORTED_PERMISSIONS = (
    ("probes", PROBES_KEY),
    ("messages to peers", PEER_MESSAGES_KEY),
)  # (feature, settings key) of permissions that the platform's protocol does not support


def read_configuration(data):
    """Decode a configuration from JSON bytes.

    Returns:
        The wire.ControllerConfiguration.

    Raises:
        ConfigurationError: it is not valid JSON, or a required field is missing or has the wrong type.
    """
    try:
        return configuration_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigurationError(f"configuration: {error}") from None


def unsupported_permissions(settings):
    """Check StartSettings for features that the platform's protocol does not support.

    Unsupported permissions are ignored: they are optional, and refusing to start because of one would leave
    every proxy without a controller.

    Returns:
        A log message for each permission that is ignored.

    Raises:
        SettingsError: tables belong to slices, and no table can be served without support for them.
    """
    if settings.float_value(SLICES_KEY):
        raise SettingsError(f"{SLICES_KEY}: the platform's protocol does not support slices")
    return [
        f"the settings permit {what}, which the platform's protocol does not support: none are sent"
        for what, key in UNSUPPORTED_PERMISSIONS
        if settings.flag(key)
    ]
