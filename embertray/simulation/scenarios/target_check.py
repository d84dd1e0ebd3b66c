"""Checks that the targets of a day's faults exist."""

import re

from .exceptions import DayError
from .words import LINKS, target_kind, target_names

PERCENT = re.compile(r"(\d{1,2}(\.\d+)?|100)%")
OTHER_ENDS = ("list", "px")  # ends of links besides controllers: the inventory and the proxies


def check_targets(day, path):
    """Checks every fault of a day.

    Args:
        day: the Day.
        path: its file, for errors.

    Raises:
        DayError: a share is invalid, or a target does not exist.
    """
    counts = {
        "b": int(day.fleet["backends"]),
        "p": int(day.fleet["proxies"]),
        "c": int(day.fleet["controllers"]),
    }
    for fault in day.faults:
        place = f"{path}:{fault.line}:1"
        check_shares(fault, place)
        members = group_members(fault, counts, place)
        named = [target for target in fault.targets if isinstance(target, str)]
        for target in named + members:
            check_target(target, counts, place)


def check_shares(fault, place):
    """Raises DayError if a share in the fault's options is not a percentage."""
    shares = [part for part in fault.options.get("groups", "").split("/") if "%" in part]
    if fault.name in LINKS and "share" in fault.options:
        shares.append(fault.options["share"])
    for share in shares:
        if not PERCENT.fullmatch(share):
            raise DayError(f"{place}: '{share}' is no share; 30% is one")


def group_members(fault, counts, place):
    """Returns the names in a fault's `groups=`; none if the groups are shares, whose members are drawn.

    Raises:
        DayError: a split does not name every controller.
    """
    groups = fault.options.get("groups")
    if groups is not None and "%" in groups:
        return []
    members = groups.replace("/", ",").split(",") if groups is not None else []
    if fault.name == "split":
        missing = {f"c{n + 1}" for n in range(counts["c"])} - set(members)
        if missing:
            raise DayError(
                f"{place}: groups= must name every controller; {', '.join(sorted(missing))} is missing"
            )
    return members


def check_target(target, counts, place):
    """Raises DayError if a process or an end of a link does not exist, or a link has no controller."""
    try:
        missing = next((name for name in target_names(target) if not is_there(name, counts)), None)
    except (ValueError, KeyError, IndexError):  # not a kind's letter and a number
        missing = target
    if missing is not None:
        raise DayError(f"{place}: there is no {missing}")
    if target_kind(target) != "l":
        return
    distinct = len(set(target_names(target))) >= 2
    if not distinct or not any(name[0] == "c" for name in target_names(target)):
        raise DayError(f"{place}: there is no link {target}: one end at least is a controller")


def is_there(name, counts):
    """Returns whether a process exists; `counts`: number of processes by the letter of their kind."""
    return name in OTHER_ENDS or 1 <= int(name[1:]) <= counts[name[0]]
