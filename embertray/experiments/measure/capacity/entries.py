"""Measures the endpoint list as a controller reads it: bytes, processor time, memory."""

import random
import time
from statistics import median

from embertray.common.framing import encode_frame
from embertray.common.memory.sizing import deep_size
from embertray.controller.endpoint_list import EndpointListFollower
from embertray.controller.endpoint_list.messages import EndpointEntry, WatchEvent, decode_response, encode

REPEATS = 31  # measurements of each, of which the median is taken
ZONES = 19


def make_entries(count):
    """Returns entries as discovery sends them, each with its own address, zone and start."""
    rng = random.Random(1)
    return [
        EndpointEntry(
            f"127.{rng.randrange(256)}.{rng.randrange(256)}.{rng.randrange(1, 255)}:"
            f"{rng.randrange(1024, 65536)}",
            f"zone-{number % ZONES}",
            "ready",
            rng.randrange(2**40),
        )
        for number in range(count)
    ]


def apply_cost(follower, payload):
    """Returns the processor seconds to decode one response and apply it."""
    began = time.process_time()
    follower.receive(decode_response(payload))
    return time.process_time() - began


def measure(count):
    """Returns the figures of a list with `count` entries, by the names in UNITS."""
    entries, follower = make_entries(count), EndpointListFollower()
    whole = encode(WatchEvent(1, 0, 2**60, entries))
    whole_costs = [apply_cost(follower, whole) for _ in range(REPEATS)]
    change_costs = []
    for turn in range(REPEATS):
        change = encode(WatchEvent(2 + turn, 1 + turn, 2**60, [entries[turn % count]]))
        change_costs.append(apply_cost(follower, change))
    return {
        "list-bytes": len(encode_frame(whole)),
        "list-processor": median(whole_costs),
        "list-memory": deep_size(follower.entries),
        "change-bytes": len(encode_frame(change)),
        "change-read-processor": median(change_costs),
    }


UNITS = {
    "list-bytes": "bytes a whole list",
    "list-processor": "s of processor a whole list",
    "list-memory": "bytes a controller",
    "change-bytes": "bytes a changed entry",
    "change-read-processor": "s of processor a changed entry",
}


def run(recording, sizes):
    """Measures each size, and saves the slopes."""
    rows = [(size, measure(size)) for size in sizes]
    for name, unit in UNITS.items():
        recording.save(
            name,
            unit,
            "entries of the list",
            [(size, figures[name]) for size, figures in rows],
            f"decoded and followed, without the module; median of {REPEATS}; names of 15 to 21 characters",
        )
