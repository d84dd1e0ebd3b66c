"""Addresses: host:port, on loopback only."""

import ipaddress


class BadAddress(ValueError):
    pass


def plain(text):
    """(host, port) of 'host:port', the host an IP address of any machine. Raises BadAddress."""
    host, colon, port = text.rpartition(":")
    try:
        good = colon and port.isdigit() and int(port) <= 65535 and ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        good = False
    if not good:
        raise BadAddress(f"'{text}' is no address:port")
    return host.strip("[]"), int(port)


def loopback(text):
    """(host, port) of 'host:port'. Raises BadAddress for any other form, and for a host that is not
    loopback.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdigit() or int(port) > 65535:
        raise BadAddress(f"'{text}' is no host:port")
    host = "127.0.0.1" if host == "localhost" else host.strip("[]")
    try:
        good = ipaddress.ip_address(host).is_loopback
    except ValueError:
        good = False
    if not good:
        raise BadAddress(f"'{text}' is not a loopback address: nothing else is listened on or dialled")
    return host, int(port)


def joined(host, port):
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
