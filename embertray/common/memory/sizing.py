"""How many bytes things take: an exact walk over a sample of each collection, times how many it holds.

The size is sys.getsizeof of an object and of all that it alone leads to. A walk stops at what belongs to
another collection and counts an object once. docs/design/memory.md compares other ways.
"""

import sys
from collections import deque
from types import BuiltinFunctionType, FunctionType, MethodType, ModuleType

SAMPLED_ENTRIES = 48  # of a collection: their mean is within a few percent; more costs CPU
NEVER_WALKED = (type, ModuleType, FunctionType, BuiltinFunctionType, MethodType)
SEQUENCES = (list, tuple, set, frozenset, deque)
LEAVES = (str, bytes, bytearray, int, float)  # types that lead to no other object
NOT_ATTRIBUTES = ("__dict__", "__weakref__")  # slots that hold no value of the object


class Collection:
    """What is kept in one place.

    Args:
        name: Its name within its purpose.
        count: How many entries it has.
        entries: A function that gives the entries.
        box: The containers themselves, whose own size (a dict's table) is charged in full.
        stop: Types at which a walk stops: they belong to another collection.
        skip: Names of attributes that are not followed.
    """

    __slots__ = ("box", "count", "entries", "name", "skip", "stop")

    def __init__(self, name, count, entries, box=(), stop=(), skip=()):
        self.name = name
        self.count = count
        self.entries = entries
        self.box = box
        self.stop = NEVER_WALKED + tuple(stop)
        self.skip = frozenset(skip)


def deep_size(root, stop=NEVER_WALKED, skip=frozenset(), seen=None):
    """Measures an object with all that it leads to.

    Args:
        root: The object.
        stop: Types at which the walk stops.
        skip: Names of attributes that are not followed.
        seen: Ids of objects that are not counted again; those that are walked are added.

    Returns:
        Bytes.
    """
    seen = set() if seen is None else seen
    pending = [root]
    total = 0
    while pending:
        thing = pending.pop()
        if id(thing) in seen or thing is None or isinstance(thing, (bool, stop)):
            continue
        seen.add(id(thing))
        total += sys.getsizeof(thing)
        if isinstance(thing, dict):
            pending += thing.keys()
            pending += thing.values()
        elif isinstance(thing, SEQUENCES):
            pending += thing
        elif not isinstance(thing, LEAVES):
            total += _follow_attributes(thing, skip, pending)
    return total


def _follow_attributes(thing, skip, pending):
    """Adds the values of an object's dict, slots and msgspec fields to `pending`.

    Returns:
        Bytes of its dict, if it has one.
    """
    dict_bytes = 0
    inner = getattr(thing, "__dict__", None)
    if inner is not None:
        dict_bytes = sys.getsizeof(inner)
        pending += [value for name, value in inner.items() if name not in skip]
    for kind in type(thing).__mro__:
        slots = kind.__dict__.get("__slots__", ())
        for name in (slots,) if isinstance(slots, str) else slots:
            if name not in skip and hasattr(thing, name) and name not in NOT_ATTRIBUTES:
                pending.append(getattr(thing, name))
    fields = getattr(thing, "__struct_fields__", ())
    if fields:
        pending += [getattr(thing, name) for name in fields if name not in skip]
    return dict_bytes


def measure_entry_bytes(collection):
    """Measures what an entry of a Collection takes, by a sample spread evenly over it.

    Returns:
        Bytes, as a float; 0.0 if it is empty.
    """
    if not collection.count:
        return 0.0
    step = max(1, collection.count // SAMPLED_ENTRIES)
    seen = set()
    sampled = 0
    total = 0
    for position, entry in enumerate(collection.entries()):
        if position % step:
            continue
        total += deep_size(entry, collection.stop, collection.skip, seen)
        sampled += 1
        if sampled >= SAMPLED_ENTRIES:
            break
    return total / sampled if sampled else 0.0


def container_bytes(collection):
    """Returns the bytes of a Collection's containers themselves."""
    return sum(sys.getsizeof(container) for container in collection.box)
