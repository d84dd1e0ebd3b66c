"""Operators' actions on a controller: functions (Service, query: name -> values) -> Response."""

from .pages import level_page
from .server import text

ACCEPTED = 202
BAD_REQUEST = 400


def drain(service, _query):
    """Begins a graceful shutdown."""
    service.drain()
    return text("draining\n", ACCEPTED)


def set_level(service, query):
    """Pins, releases, forbids or allows degradation levels: pin=NAME, release=, forbid=NAME, allow=NAME."""
    ladder = service.core.ladder
    actions = {
        "pin": ladder.pin,
        "release": lambda _: ladder.release(),
        "forbid": ladder.forbid,
        "allow": lambda name: ladder.forbid(name, False),
    }
    if not query or any(name not in actions for name in query):
        return text(f"one of {', '.join(actions)} is wanted\n", BAD_REQUEST)
    try:
        for name, values in query.items():
            actions[name](values[0])
    except ValueError as error:
        return text(f"{error}\n", BAD_REQUEST)
    service.wake()
    return level_page(service, query)


def pace(service, query):
    """Sets the channel's pace as a share of its rate: share=0.25; 1 is the full rate."""
    pacer = service.core.pacer
    try:
        pacer.set_pace(service.clock.now(), float(query.get("share", [""])[0]))
    except ValueError:
        return text("share: a number over 0 and 1 at most is wanted\n", BAD_REQUEST)
    service.wake()
    return text(f"pace {pacer.pace}\n")
