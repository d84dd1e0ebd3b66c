"""What replicas and subscribers are reckoned to cost: true messages of the size that they would have, and the
bounds that embertray/cluster/replication states. Measured slopes stand beside them.
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


def framed(message):
    return formulas.FRAME_BYTES + len(encode(message))


def heartbeat_bytes():
    number = formulas.LARGE_NUMBER
    return framed(Heartbeat(number, 2**64 - 1, number, number))


def confirm_bytes():
    return framed(Confirm(formulas.LARGE_NUMBER, formulas.LARGE_NUMBER))


def update_bytes(entry_bytes):
    """An update of one changed key."""
    number = formulas.LARGE_NUMBER
    entry = Entry("", number, number, "", b"")
    return framed(Update(number, number, [entry])) + int(entry_bytes)


def rows(target):
    return [
        *subscriber(target),
        *replica(target),
        *bounds(target),
    ]


def subscriber(target):
    table, update = (
        RowBuilder(target, Role.CONTROLLER, Situation.PEAK),
        update_bytes(target.assumed("entry-bytes")),
    )
    beats = SECOND_NS / Bounds().feed.heartbeat_interval
    bunched = target.assumed("changes-in-worst-10s") / formulas.WORST_WINDOW_S
    table.add(
        Part.CONFIGURATION,
        Quantity.BYTES_IN,
        calculated(
            f"a heartbeat of {heartbeat_bytes()} bytes a second + changes a second x an update of {update}",
            beats * heartbeat_bytes() + target.changes_a_second * update,
        ),
        f"{MECHANISM}; worst: changes-in-worst-10s, each an update of its own, not yet paced",
        worst=calculated("changes-in-worst-10s", beats * heartbeat_bytes() + bunched * update),
        designs=REPLICAS,
    )
    table.add(
        Part.CONFIGURATION,
        Quantity.BYTES_OUT,
        calculated(
            f"a confirm of {confirm_bytes()} bytes to each heartbeat and each update",
            (beats + target.changes_a_second) * confirm_bytes(),
        ),
        MECHANISM,
        worst=calculated("changes-in-worst-10s", (beats + bunched) * confirm_bytes()),
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


def replica(target):
    table, update = (
        RowBuilder(target, Role.REPLICA, Situation.PEAK),
        update_bytes(target.assumed("entry-bytes")),
    )
    beats, each = SECOND_NS / Bounds().feed.heartbeat_interval, target.controllers / target.control_machines
    bunched = target.assumed("changes-in-worst-10s") / formulas.WORST_WINDOW_S
    table.add(
        Part.REPLICATION,
        Quantity.BYTES_OUT,
        calculated(
            "controllers / control machines x what a subscriber gets, without the other replicas",
            each * (beats * heartbeat_bytes() + target.changes_a_second * update),
        ),
        "replication/subscriber_feed: heartbeats and updates",
        worst=calculated("changes-in-worst-10s", each * (beats * heartbeat_bytes() + bunched * update)),
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


def bounds(target):
    """The stated bounds on the time until a change is in force, bunched changes before it."""
    stated = Bounds()
    waiting = stated.waiting(
        int(target.assumed("changes-in-worst-10s") * update_bytes(target.assumed("entry-bytes")))
    )
    found = []
    for situation, value, formula in (
        (Situation.PEAK, stated.good, "Bounds.good"),
        (Situation.PEAK, stated.good + waiting, "Bounds.good + waiting(changes-in-worst-10s x an update)"),
        (Situation.MACHINE, stated.replicas_dead(1), "Bounds.replicas_dead(1)"),
        (Situation.RACK, stated.replicas_dead(2), "Bounds.replicas_dead(2)"),
        (Situation.ZONE, stated.replicas_dead(2), "Bounds.replicas_dead(2): no more stand in one zone"),
        (
            Situation.CATCH_UP,
            stated.any_fault + stated.waiting(int(missed_bytes(target))),
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
        found += table.rows
    return found


def missed_bytes(target):
    """Updates of the keys that changed while regions were apart, each key once."""
    changed = min(target.changes_a_second * target.regions_apart, target.configuration_keys)
    return changed * update_bytes(target.assumed("entry-bytes"))


def snapshot_bytes(target):
    return target.configuration_keys * target.assumed("entry-bytes")


def snapshot_time(target):
    """Seconds until one subscriber that holds nothing has all, at its sustained rate."""
    return Bounds().waiting(int(snapshot_bytes(target))) / SECOND_NS
