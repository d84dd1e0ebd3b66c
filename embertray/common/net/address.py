"""Addresses as host:port."""

import ipaddress

from .exceptions import AddressError

PORT_MAX = 65535
LOCALHOST = "localhost"
LOCALHOST_ADDRESS = "127.0.0.1"


def parse_address(text):
    """Parses the address of any host.

    Args:
        text: 'address:port', with an IPv6 address in brackets.

    Returns:
        (host, port).

    Raises:
        AddressError: It does not have this form.
    """
    host, port = _split(text)
    host = host.strip("[]")
    if port is None or _parse_ip(host) is None:
        raise AddressError(f"'{text}' is not of the form address:port")
    return host, port


def parse_loopback(text):
    """Parses a loopback address.

    Args:
        text: 'host:port', where the host is localhost or a loopback address, an IPv6 one in brackets.

    Returns:
        (host, port).

    Raises:
        AddressError: It does not have this form, or the host is not on loopback.
    """
    host, port = _split(text)
    if port is None:
        raise AddressError(f"'{text}' is not of the form host:port")
    host = LOCALHOST_ADDRESS if host == LOCALHOST else host.strip("[]")
    ip_address = _parse_ip(host)
    if ip_address is None or not ip_address.is_loopback:
        raise AddressError(f"'{text}' is not a loopback address: other addresses are not allowed")
    return host, port


def format_address(host, port):
    """Returns host:port, with an IPv6 address in brackets."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _split(text):
    """Returns (host, port); the port is None if it is missing or invalid."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdecimal() or int(port) > PORT_MAX:
        return host, None
    return host, int(port)


def _parse_ip(host):
    try:
        return ipaddress.ip_address(host)
    except ValueError:
        return None
