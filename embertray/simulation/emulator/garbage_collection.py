"""Python's cyclic garbage collector, while hundreds of thousands of messages are under way."""

import gc
from contextlib import contextmanager

# Allocations between two searches of the youngest objects; Python's default is 700.
ALLOCATIONS = 1_000_000


@contextmanager
def rare_collections():
    """Makes searches for garbage rare while the block runs.

    A search walks all that lives, and messages under way are no garbage: at 256 members that start at once
    the searches took a third of the time.
    """
    before = gc.get_threshold()
    gc.set_threshold(ALLOCATIONS, *before[1:])
    try:
        yield
    finally:
        gc.set_threshold(*before)
