"""Reads a controller's configuration, at its start and again at SIGHUP; checks the settings in it."""

import msgspec

from embertray.controller.exceptions import SettingsError
from embertray.controller.settings import PEER_MESSAGES_KEY, PROBES_KEY, SLICES_KEY

from .exceptions import ConfigurationError
from .wire import configuration_decoder

UNSUPPORTED_PERMISSIONS = (
    ("probes", PROBES_KEY),
    ("notes to peers", PEER_MESSAGES_KEY),
)  # what the settings may permit, by which key, that the platform's protocol can't carry


def read_configuration(data):
    """Read the configuration in `data`, JSON as bytes.

    Returns:
        The wire.ControllerConfiguration.

    Raises:
        ConfigurationError: it is no JSON, or a needed field is missing or of the wrong type.
    """
    try:
        return configuration_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigurationError(f"configuration: {error}") from None


def unsupported_permissions(settings):
    """Check StartSettings for what the platform's protocol has no words for.

    Permissions go unused: they are no need, and a controller that refused to start for one would fail every
    proxy.

    Returns:
        A log text for each permission that goes unused.

    Raises:
        SettingsError: tables belong to slices, and then nothing can be served without words for them.
    """
    if settings.float_value(SLICES_KEY):
        raise SettingsError(f"{SLICES_KEY}: the platform's protocol has no words for slices")
    return [
        f"the settings permit {what}: the platform's protocol has no words for them, none are sent"
        for what, key in UNSUPPORTED_PERMISSIONS
        if settings.flag(key)
    ]
