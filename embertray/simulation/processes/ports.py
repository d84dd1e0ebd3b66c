"""Ports of loopback for processes that are yet to be started."""

import itertools
import os
import socket

FIRST, COUNT = (
    20_000,
    12_000,
)  # under the range from which the system takes ports for calls: none is taken between now and the start
given = itertools.count(os.getpid() * 131)  # tests that run beside each other begin elsewhere


def free(port):
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as one:
                one.bind(("127.0.0.1", port))
        return True
    except OSError:
        return False


def free_ports(count):
    """Ports that nobody listens on now, for UDP and TCP, and that were not given before. Raises OSError if
    there are not so many.
    """
    found = []
    for n in itertools.islice(given, COUNT):
        if free(port := FIRST + n % COUNT):
            found.append(port)
            if len(found) == count:
                return found
    raise OSError(f"no {count} free ports from {FIRST} to {FIRST + COUNT}")
