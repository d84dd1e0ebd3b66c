"""Chooses free loopback ports for processes that are started later."""

import itertools
import os
import socket

# below the range of ephemeral ports, so that no outgoing connection takes one before the process starts
FIRST_PORT = 20_000
PORT_COUNT = 12_000
START_STEP = 131  # per process id, so that concurrent tests begin at different ports
candidate_numbers = itertools.count(os.getpid() * START_STEP)


def is_free(port):
    """Whether a port can be bound for both TCP and UDP."""
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                probe.bind(("127.0.0.1", port))
        return True
    except OSError:
        return False


def free_ports(count):
    """Returns ports that are free now, and that this process has not returned before.

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
