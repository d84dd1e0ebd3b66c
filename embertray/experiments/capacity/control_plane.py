"""The calculated cost of replicas and subscribers, beside the measured slopes.

It is calculated from encoded messages of realistic size and from the bounds that
embertray/cluster/replication states.
"""

from embertray.cluster.replication.codec import encode
from embertray.cluster.replication.entry import Entry
from embertray.cluster.replication.messages import Confirm, Heartbeat, Update
from embertray.cluster.replication.propagation_bounds import Bounds

from . import formulas
from .figure import calculated
from .names import Design, Part, Quantity, Role, Situation
from .row import RowBuilder

REPLICAS = (Design.REPLICAS,)
SECOND_NS = 10**9
MECHANISM = "replication/: one replica followed, changed keys only"


def framed_bytes(message):
    """Returns the bytes of an encoded message and its length prefix."""
    return formulas.FRAME_BYTES + len(encode(message))


def heartbeat_bytes():
    """Returns the size of a heartbeat with large numbers."""
    number = formulas.LARGE_NUMBER
    return framed_bytes(Heartbeat(number, 2**64 - 1, number, number))


def confirm_bytes():
    """Returns the size of a confirm with large numbers."""
    return framed_bytes(Confirm(formulas.LARGE_NUMBER, formulas.LARGE_NUMBER))


def update_bytes(entry_bytes):
    """Returns the size of an update of one changed key."""
    number = formulas.LARGE_NUMBER
    entry = Entry("", number, number, "", b"")
    return framed_bytes(Update(number, number, [entry])) + int(entry_bytes)


def rows(target):
    """Returns the calculated rows of the control plane."""
    return [
        *subscriber_rows(target),
        *replica_rows(target),
        *bound_rows(target),
    ]


def subscriber_rows(target):
    """Returns the rows of a controller that subscribes to a replica."""
    table, update_size = (
        RowBuilder(target, Role.CONTROLLER, Situation.PEAK),
        update_bytes(target.assumed("entry-bytes")),
    )
    heartbeats_a_second = SECOND_NS / Bounds().feed.heartbeat_interval
    worst_changes_a_second = target.assumed("changes-in-worst-10s") / formulas.WORST_WINDOW_S
    table.add(
        Part.CONFIGURATION,
        Quantity.BYTES_IN,
        calculated(
            f"a heartbeat of {heartbeat_bytes()} bytes a second "
            f"+ changes a second x an update of {update_size}",
            heartbeats_a_second * heartbeat_bytes() + target.changes_a_second * update_size,
        ),
        f"{MECHANISM}; worst: changes-in-worst-10s, each an update of its own, not yet paced",
        worst=calculated(
            "changes-in-worst-10s",
            heartbeats_a_second * heartbeat_bytes() + worst_changes_a_second * update_size,
        ),
        designs=REPLICAS,
    )
    table.add(
        Part.CONFIGURATION,
        Quantity.BYTES_OUT,
        calculated(
            f"a confirm of {confirm_bytes()} bytes to each heartbeat and each update",
            (heartbeats_a_second + target.changes_a_second) * confirm_bytes(),
        ),
        MECHANISM,
        worst=calculated(
            "changes-in-worst-10s", (heartbeats_a_second + worst_changes_a_second) * confirm_bytes()
        ),
        designs=REPLICAS,
    )
    table.add(
        Part.CONFIGURATION,
        Quantity.STATE,
        calculated("(services + routes) x entry-bytes", snapshot_bytes(target)),
        f"{MECHANISM}: the newest entry of each key",
        designs=REPLICAS,
    )
    return table.rows


def replica_rows(target):
    """Returns the rows of a replica."""
    table, update_size = (
        RowBuilder(target, Role.REPLICA, Situation.PEAK),
        update_bytes(target.assumed("entry-bytes")),
    )
    heartbeats_a_second, subscribers = (
        SECOND_NS / Bounds().feed.heartbeat_interval,
        target.controllers / target.control_machines,
    )
    worst_changes_a_second = target.assumed("changes-in-worst-10s") / formulas.WORST_WINDOW_S
    table.add(
        Part.REPLICATION,
        Quantity.BYTES_OUT,
        calculated(
            "controllers / control machines x what a subscriber gets, without the other replicas",
            subscribers * (heartbeats_a_second * heartbeat_bytes() + target.changes_a_second * update_size),
        ),
        "replication/subscriber_feed: heartbeats and updates",
        worst=calculated(
            "changes-in-worst-10s",
            subscribers * (heartbeats_a_second * heartbeat_bytes() + worst_changes_a_second * update_size),
        ),
        designs=REPLICAS,
    )
    table.add(
        Part.REPLICATION,
        Quantity.STATE,
        calculated("(services + routes) x entry-bytes, newest versions alone", snapshot_bytes(target)),
        "replication/store",
        designs=REPLICAS,
    )
    return table.rows


def bound_rows(target):
    """Returns the stated bounds on the time until a change is in force, alone and after bunched changes."""
    bounds = Bounds()
    waiting = bounds.waiting(
        int(target.assumed("changes-in-worst-10s") * update_bytes(target.assumed("entry-bytes")))
    )
    rows = []
    for situation, value, formula in (
        (Situation.PEAK, bounds.good, "Bounds.good"),
        (Situation.PEAK, bounds.good + waiting, "Bounds.good + waiting(changes-in-worst-10s x an update)"),
        (Situation.MACHINE, bounds.replicas_dead(1), "Bounds.replicas_dead(1)"),
        (Situation.RACK, bounds.replicas_dead(2), "Bounds.replicas_dead(2)"),
        (Situation.ZONE, bounds.replicas_dead(2), "Bounds.replicas_dead(2): no more stand in one zone"),
        (
            Situation.CATCH_UP,
            bounds.any_fault + bounds.waiting(int(missed_bytes(target))),
            "Bounds.any_fault + waiting(keys changed meanwhile x an update), from the return",
        ),
    ):
        table = RowBuilder(target, Role.CONTROLLER, situation)
        table.add(
            Part.CONFIGURATION,
            Quantity.IN_FORCE,
            calculated(formula, value / SECOND_NS),
            "replication/propagation_bounds: the stated bound",
            designs=REPLICAS,
        )
        rows += table.rows
    return rows


def missed_bytes(target):
    """Returns the bytes of updates of the keys that changed while regions were apart, each key once."""
    changed = min(target.changes_a_second * target.regions_apart, target.configuration_keys)
    return changed * update_bytes(target.assumed("entry-bytes"))


def snapshot_bytes(target):
    """Returns the bytes of all entries of the configuration."""
    return target.configuration_keys * target.assumed("entry-bytes")


def snapshot_time(target):
    """Returns the seconds until a subscriber that holds nothing has all entries, at its sustained rate."""
    return Bounds().waiting(int(snapshot_bytes(target))) / SECOND_NS
