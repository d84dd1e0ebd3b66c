"""Checks which days can be simulated without sockets."""

from embertray.simulation.scenarios.exceptions import DayError

# Faults that need byte streams.
STREAM_FAULTS = ("half-message", "twice", "garbage")


def check_playable(day):
    """Rejects a day with faults that this simulation does not support.

    Args:
        day: The Day.

    Raises:
        DayError: The day needs byte streams, or links between processes.
    """
    for fault in day.faults:
        if fault.name in STREAM_FAULTS:
            raise DayError(
                f"{day.name}:{fault.line}: '{fault.name}' needs byte streams: run it on sockets or in memory"
            )
    if day.first_link_fault:
        raise DayError(
            f"{day.name}:{day.first_link_fault.line}: '{day.first_link_fault.name}' affects links between "
            "processes: run it with --processes"
        )
