"""How many bytes things take: an exact walk over a sample of each collection, times how many it holds.

sys.getsizeof of an object and of all that it alone leads to. A walk stops at what belongs to another
collection (types named in `stop`, attributes named in `skip`) and counts an object once.
docs/design/memory.md compares other ways.
"""

import sys
from types import BuiltinFunctionType, FunctionType, MethodType, ModuleType

SAMPLE = 48  # entries walked on a collection: the mean of so many is within a few percent; more costs CPU
NEVER = (type, ModuleType, FunctionType, BuiltinFunctionType, MethodType)


class Collection:
    """What is kept in one place: `count` entries, and how to get at them. `box`: the containers themselves,
    whose own size (a dict's table) is charged whole."""

    __slots__ = ("name", "count", "entries", "box", "stop", "skip")

    def __init__(self, name, count, entries, box=(), stop=(), skip=()):
        self.name, self.count, self.entries, self.box = name, count, entries, box
        self.stop, self.skip = NEVER + tuple(stop), frozenset(skip)


def deep_size(root, stop=NEVER, skip=frozenset(), seen=None):
    """Bytes of `root` and of what it leads to, but for what is in `seen` already."""
    seen, total, todo = set() if seen is None else seen, 0, [root]
    while todo:
        thing = todo.pop()
        if id(thing) in seen or thing is None or isinstance(thing, (bool, stop)):
            continue
        seen.add(id(thing))
        total += sys.getsizeof(thing)
        if isinstance(thing, dict):
            todo += thing.keys()
            todo += thing.values()
        elif isinstance(thing, (list, tuple, set, frozenset)) or type(thing).__name__ == "deque":
            todo += thing
        elif not isinstance(thing, (str, bytes, bytearray, int, float)):
            inner = getattr(thing, "__dict__", None)
            if inner is not None:
                total += sys.getsizeof(inner)
                todo += [value for name, value in inner.items() if name not in skip]
            for kind in type(thing).__mro__:
                names = kind.__dict__.get("__slots__", ())
                for name in (names,) if isinstance(names, str) else names:
                    if name not in skip and hasattr(thing, name) and name not in ("__dict__", "__weakref__"):
                        todo.append(getattr(thing, name))
            todo += getattr(thing, "__struct_fields__", ()) and [
                getattr(thing, name) for name in thing.__struct_fields__ if name not in skip
            ]
    return total


def measure_entry_bytes(collection):
    """Bytes an entry takes, by a sample spread evenly over the collection; 0.0 if it is empty."""
    if not collection.count:
        return 0.0
    step, seen, taken, total = max(1, collection.count // SAMPLE), set(), 0, 0
    for n, entry in enumerate(collection.entries()):
        if n % step == 0:
            total += deep_size(entry, collection.stop, collection.skip, seen)
            taken += 1
            if taken >= SAMPLE:
                break
    return total / taken if taken else 0.0


def container_bytes(collection):
    return sum(sys.getsizeof(container) for container in collection.box)
