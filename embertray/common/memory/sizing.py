"""Estimates the size of collections: the mean size of a sample of entries, times the number of entries.

The size of an entry is the sum of sys.getsizeof over the entry and all objects that it references. The walk
does not follow objects that belong to another collection, and counts each object once. docs/design/memory.md
compares alternatives.
"""

import sys
from collections import deque
from types import BuiltinFunctionType, FunctionType, MethodType, ModuleType

SAMPLED_ENTRIES = 48  # per collection: the mean is accurate to a few percent; more entries cost CPU time
EXCLUDED_TYPES = (type, ModuleType, FunctionType, BuiltinFunctionType, MethodType)
ITERABLE_TYPES = (list, tuple, set, frozenset, deque)
ATOMIC_TYPES = (str, bytes, bytearray, int, float)  # types without references to other objects
IGNORED_SLOTS = ("__dict__", "__weakref__")  # slots that are not attributes of the object


class Collection:
    """A group of entries that are stored and measured together.

    Args:
        name: Its name within its purpose.
        count: Number of entries.
        entries: A function that returns an iterable of the entries.
        containers: The containers of the entries, whose own size (such as a dict's table) is added in full.
        stop: Types that are not followed, because they belong to another collection.
        skip: Names of attributes that are not followed.
    """

    __slots__ = ("containers", "count", "entries", "name", "skip", "stop")

    def __init__(self, name, count, entries, containers=(), stop=(), skip=()):
        self.name = name
        self.count = count
        self.entries = entries
        self.containers = containers
        self.stop = EXCLUDED_TYPES + tuple(stop)
        self.skip = frozenset(skip)


def deep_size(root, stop=EXCLUDED_TYPES, skip=frozenset(), seen=None):
    """Measures an object and all objects that it references.

    Args:
        root: The object.
        stop: Types that are not followed.
        skip: Names of attributes that are not followed.
        seen: Ids of objects already counted; the ids of newly counted objects are added.

    Returns:
        Bytes.
    """
    seen = set() if seen is None else seen
    pending = [root]
    total = 0
    while pending:
        value = pending.pop()
        if id(value) in seen or value is None or isinstance(value, (bool, stop)):
            continue
        seen.add(id(value))
        total += sys.getsizeof(value)
        if isinstance(value, dict):
            pending += value.keys()
            pending += value.values()
        elif isinstance(value, ITERABLE_TYPES):
            pending += value
        elif not isinstance(value, ATOMIC_TYPES):
            total += _follow_attributes(value, skip, pending)
    return total


def _follow_attributes(obj, skip, pending):
    """Adds the values of an object's dict, slots and msgspec fields to `pending`.

    Returns:
        The size of its __dict__ in bytes, 0 if it has none.
    """
    dict_bytes = 0
    attributes = getattr(obj, "__dict__", None)
    if attributes is not None:
        dict_bytes = sys.getsizeof(attributes)
        pending += [value for name, value in attributes.items() if name not in skip]
    for cls in type(obj).__mro__:
        slots = cls.__dict__.get("__slots__", ())
        for name in (slots,) if isinstance(slots, str) else slots:
            if name not in skip and hasattr(obj, name) and name not in IGNORED_SLOTS:
                pending.append(getattr(obj, name))
    fields = getattr(obj, "__struct_fields__", ())
    if fields:
        pending += [getattr(obj, name) for name in fields if name not in skip]
    return dict_bytes


def measure_entry_bytes(collection):
    """Measures the mean size of an entry of a Collection, using an evenly spread sample.

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
    """Returns the size of a Collection's containers, without their entries, in bytes."""
    return sum(sys.getsizeof(container) for container in collection.containers)
