"""Ports of loopback for processes that are yet to be started."""

import itertools
import os
import socket

# under the range from which the system takes ports for calls: none is taken between now and the start
FIRST_PORT = 20_000
PORT_COUNT = 12_000
START_STEP = 131  # tests that run beside each other begin elsewhere, by their process ids
candidate_numbers = itertools.count(os.getpid() * START_STEP)


def is_free(port):
    """Whether nobody listens on a port, for UDP and TCP."""
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                probe.bind(("127.0.0.1", port))
        return True
    except OSError:
        return False


def free_ports(count):
    """Ports that nobody listens on now, and that were not given before.

    Raises:
        OSError: there are not so many.
    """
    found = []
    for number in itertools.islice(candidate_numbers, PORT_COUNT):
        port = FIRST_PORT + number % PORT_COUNT
        if is_free(port):
            found.append(port)
            if len(found) == count:
                return found
    raise OSError(f"no {count} free ports from {FIRST_PORT} to {FIRST_PORT + PORT_COUNT}")
