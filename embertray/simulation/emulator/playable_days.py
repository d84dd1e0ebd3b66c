"""Which days can be played without sockets."""

from embertray.simulation.scenarios.exceptions import DayError

# Faults that need byte streams.
STREAM_FAULTS = ("half-message", "twice", "garbage")


def check_playable(day):
    """Rejects a day with faults that this simulation does not have.

    Args:
        day: The Day.

    Raises:
        DayError: The day needs byte streams, or links between processes.
    """
    for fault in day.faults:
        if fault.name in STREAM_FAULTS:
            raise DayError(
                f"{day.name}:{fault.line}: '{fault.name}' needs true streams: play it on sockets or in memory"
            )
    if day.linked:
        raise DayError(
            f"{day.name}:{day.linked.line}: '{day.linked.name}' strikes links between "
            "processes: play it with --processes"
        )
