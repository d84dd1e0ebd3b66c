"""What each failure of the target costs, and what must be caught up after it."""

from dataclasses import dataclass

from . import formulas
from .control_plane import snapshot_bytes, snapshot_time
from .controller import GOSSIP, LIST_CHANGES_PER_MACHINE, REPLICAS
from .figure import calculated, derived, no_mechanism
from .names import Part, Quantity, Role, Situation
from .row import ALL_READING, RowBuilder
from .target import SECONDS_PER_DAY


@dataclass(frozen=True)
class Loss:
    """Mean number of machines that fail together.

    Attributes:
        controllers: Controllers among them.
        backends: Backends among them.
    """

    controllers: float
    backends: float


def rack_loss(target):
    """Returns the loss of one rack, in proportion to each role's share of all machines."""
    machines = target.controllers + target.backends + target.control_machines
    share = target.assumed("machines-in-a-rack") / machines
    return Loss(target.controllers * share, target.backends * share)


def zone_loss(target):
    """Returns the loss of one zone."""
    return Loss(target.controllers / target.zones, target.backends / target.zones)


def rows(target, slopes):
    """Returns the rows of all failures, starts and restarts."""
    return [
        *loss_rows(target, slopes, Situation.MACHINE, Loss(1, 1)),
        *loss_rows(target, slopes, Situation.RACK, rack_loss(target)),
        *loss_rows(target, slopes, Situation.ZONE, zone_loss(target)),
        *partition_rows(target, slopes),
        *all_start_rows(target, slopes),
        *spread_restart_rows(target, slopes),
        *bunched_restart_rows(target, slopes),
    ]


def loss_rows(target, slopes, situation, loss):
    """Returns the rows of machines lost at once: backends leave the list, proxies join other controllers."""
    table = RowBuilder(target, Role.CONTROLLER, situation)
    change = slopes.at("change-bytes", target.backends)
    table.add(
        Part.LIST,
        Quantity.BYTES_IN,
        derived(
            f"{loss.backends:.0f} backends x change-bytes / 10 s",
            lambda size: loss.backends * size / formulas.WORST_WINDOW_S,
            change,
        ),
        "endpoint_list/follower: the entries that leave, worst 10 s",
        readings=ALL_READING,
    )
    table.add(
        Part.LIST,
        Quantity.PROCESSOR,
        derived(
            f"{loss.backends:.0f} backends x change-processor-68 / 10 s, each a step of its own",
            lambda cost: loss.backends * cost / formulas.WORST_WINDOW_S,
            slopes.at("change-processor-68", target.backends),
        ),
        "policy/: steps with news, worst 10 s, beside what is spent anyway",
        readings=ALL_READING,
    )
    add_joins(table, target, slopes, loss)
    add_failure_detection(table, target, slopes, situation)
    return [*table.rows, *discovery_update_rows(target, change, situation, loss)]


def add_joins(table, target, slopes, loss):
    """Adds the cost per remaining controller of the joins of proxies of lost or restarting controllers."""
    remaining = max(1.0, target.controllers - loss.controllers)
    joins = loss.controllers * target.proxies_per_controller / remaining
    table.add(
        Part.STREAMS,
        Quantity.PROCESSOR,
        derived(
            f"{joins:.2f} proxies join each other controller x join-processor / 10 s",
            lambda cost: joins * cost / formulas.WORST_WINDOW_S,
            slopes.at("join-processor", target.backends),
        ),
        "daemon/proxy_streams: joins and first tables, worst 10 s",
        readings=ALL_READING,
    )
    table.add(
        Part.STREAMS,
        Quantity.BYTES_OUT,
        derived(
            f"{joins:.2f} proxies join each other controller x join-bytes / 10 s",
            lambda size: joins * size / formulas.WORST_WINDOW_S,
            slopes.at("join-bytes", target.backends),
        ),
        "daemon/proxy_streams: first tables, worst 10 s",
        readings=ALL_READING,
    )


def add_failure_detection(table, target, slopes, situation):
    """Adds the times until all know of a lost controller and until a change is in force, replicas lost."""
    table.add(
        Part.MEMBERSHIP,
        Quantity.DELAY,
        calculated(
            "(2 (n - 1) + 2 n + 18) T + the longest suspicion: the claim `seen`",
            formulas.failure_detection_bound(target.controllers),
        ),
        "cluster/membership: until all know that a controller is gone, the bound",
        designs=GOSSIP,
    )
    slope = {
        Situation.MACHINE: "control-time-to-all-replica-dead",
        Situation.RACK: "control-time-to-all-two-replicas-dead",
        Situation.ZONE: "control-time-to-all-zone-dead",
    }[situation]
    table.add(
        Part.CONFIGURATION,
        Quantity.IN_FORCE,
        slopes.at(slope, target.controllers),
        "replication/: a change while replicas are dead",
        designs=REPLICAS,
    )


def discovery_update_rows(target, change, situation, loss):
    """Returns the rows of the discovery service, which sends the changes of the list."""
    table = RowBuilder(target, Role.DISCOVERY, situation)
    table.add(
        Part.ANSWERS,
        Quantity.BYTES_OUT,
        derived(
            f"{loss.backends:.0f} backends x change-bytes x controllers / 10 s",
            lambda size: loss.backends * size * target.controllers / formulas.WORST_WINDOW_S,
            change,
        ),
        "endpoint_list/: each controller follows the list itself, worst 10 s",
        readings=ALL_READING,
    )
    return table.rows


def partition_rows(target, slopes):
    """Returns the rows of regions that cannot reach each other, and of the catch-up afterwards."""
    during = RowBuilder(target, Role.CONTROLLER, Situation.APART)
    during.add(
        Part.MEMBERSHIP,
        Quantity.STATE,
        calculated(
            "entries of the other regions, kept: controllers x (regions - 1) / regions x facts-bytes",
            target.controllers * (target.regions - 1) / target.regions * target.assumed("facts-bytes"),
        ),
        "cluster/state: what was told last, its age growing and told",
        designs=GOSSIP,
    )
    during.add(
        Part.CONFIGURATION,
        Quantity.IN_FORCE,
        slopes.at("control-time-to-all-region-apart", target.controllers),
        "replication/: on the majority's side; who is away keeps what is in force and says its age",
        designs=REPLICAS,
    )
    after = RowBuilder(target, Role.CONTROLLER, Situation.CATCH_UP)
    after.add(
        Part.CONFIGURATION,
        Quantity.IN_FORCE,
        slopes.at("control-time-to-all-after-apart", target.controllers),
        "replication/: changed keys alone, paced, from the return; measured",
        designs=REPLICAS,
    )
    after.add(
        Part.CONFIGURATION,
        Quantity.IN_FORCE,
        no_mechanism("no version of the configuration is told, so nothing can be caught up"),
        "none",
        designs=GOSSIP,
    )
    list_missed = (
        LIST_CHANGES_PER_MACHINE
        * (target.machines_a_day + target.restarts_a_day)
        * target.regions_apart
        / SECONDS_PER_DAY
    )
    after.add(
        Part.LIST,
        Quantity.BYTES_IN,
        derived(
            f"{list_missed:.0f} changes of the list x change-bytes / 10 s",
            lambda size: list_missed * size / formulas.WORST_WINDOW_S,
            slopes.at("change-bytes", target.backends),
        ),
        "endpoint_list/follower: what is new since the epoch held, worst 10 s",
        readings=ALL_READING,
    )
    return [*during.rows, *after.rows]


def all_start_rows(target, slopes):
    """Returns the rows of all controllers starting at once with nothing on disk."""
    table = RowBuilder(target, Role.CONTROLLER, Situation.ALL_START)
    list_size = slopes.at("list-bytes", target.backends)
    joins = target.proxies_per_controller
    table.add(
        Part.LIST,
        Quantity.BYTES_IN,
        derived("list-bytes / 10 s", lambda size: size / formulas.WORST_WINDOW_S, list_size),
        "endpoint_list/follower: the whole list once, worst 10 s",
        readings=ALL_READING,
    )
    table.add(
        Part.LIST,
        Quantity.PROCESSOR,
        derived(
            "(list-processor + list-apply-processor-68) / 10 s",
            lambda read, apply: (read + apply) / formulas.WORST_WINDOW_S,
            slopes.at("list-processor", target.backends),
            slopes.at("list-apply-processor-68", target.backends),
        ),
        "endpoint_list/follower and one step of the module, worst 10 s",
        readings=ALL_READING,
    )
    for quantity, slope in ((Quantity.PROCESSOR, "join-processor"), (Quantity.BYTES_OUT, "join-bytes")):
        table.add(
            Part.STREAMS,
            quantity,
            derived(
                f"{joins} proxies join x {slope} / 10 s",
                lambda cost: joins * cost / formulas.WORST_WINDOW_S,
                slopes.at(slope, target.backends),
            ),
            "daemon/proxy_streams: joins and first tables, worst 10 s",
            readings=ALL_READING,
        )
    table.add(
        Part.CONFIGURATION,
        Quantity.IN_FORCE,
        calculated(
            "(services + routes) x entry-bytes / a subscriber's sustained bytes a second",
            snapshot_time(target),
        ),
        "replication/: a whole snapshot for who holds nothing; what is on disk spares it",
        designs=REPLICAS,
    )
    return [
        *table.rows,
        *replica_snapshot_rows(target, slopes, Situation.ALL_START, target.controllers),
        *discovery_list_rows(
            target,
            list_size,
            Situation.ALL_START,
            target.controllers / formulas.WORST_WINDOW_S,
            "all at once, 10 s",
        ),
    ]


def replica_snapshot_rows(target, slopes, situation, starts):
    """Returns the rows of replicas that send snapshots to `starts` controllers."""
    table = RowBuilder(target, Role.REPLICA, situation)
    snapshots_per_replica = starts / target.control_machines
    rate = target.assumed("control-machine-bytes-a-second")
    table.add(
        Part.REPLICATION,
        Quantity.IN_FORCE,
        calculated(
            f"{snapshots_per_replica:.1f} snapshots a replica "
            "x (services + routes) x entry-bytes / its bytes a second",
            snapshots_per_replica * snapshot_bytes(target) / rate,
        ),
        "replication/: snapshots for those that hold nothing, paced by the replica's own bound",
        designs=REPLICAS,
    )
    if situation is Situation.ALL_START:
        table.add(
            Part.REPLICATION,
            Quantity.IN_FORCE,
            slopes.at("control-time-to-all-started", target.controllers),
            "replication/: the same, measured",
            designs=REPLICAS,
        )
    return table.rows


def discovery_list_rows(target, list_size, situation, starts_a_second, when):
    """Returns the rows of the discovery service, which sends the whole list to starting controllers."""
    table = RowBuilder(target, Role.DISCOVERY, situation)
    table.add(
        Part.ANSWERS,
        Quantity.BYTES_OUT,
        derived(
            f"{starts_a_second:.3g} starts a second x list-bytes ({when})",
            lambda size: starts_a_second * size,
            list_size,
        ),
        "endpoint_list/: the whole list to each that starts with nothing",
        readings=ALL_READING,
    )
    return table.rows


def controller_restarts_a_day(target):
    """Returns how many of a day's restarts are of controllers, by their share of all processes."""
    share = target.controllers / (target.controllers + target.backends + target.control_machines)
    return target.restarts_a_day * share


def spread_restart_rows(target, slopes):
    """Returns the rows of restarts that are spread evenly over the day."""
    starts = controller_restarts_a_day(target) / SECONDS_PER_DAY
    list_size = slopes.at("list-bytes", target.backends)
    table = RowBuilder(target, Role.REPLICA, Situation.RESTARTS_SPREAD)
    table.add(
        Part.REPLICATION,
        Quantity.BYTES_OUT,
        calculated(
            "controllers restarted a second x snapshot / control machines",
            starts * snapshot_bytes(target) / target.control_machines,
        ),
        "replication/: snapshots for those that hold nothing",
        designs=REPLICAS,
    )
    return [
        *table.rows,
        *discovery_list_rows(target, list_size, Situation.RESTARTS_SPREAD, starts, "mean of a day"),
    ]


def bunched_restart_rows(target, slopes):
    """Returns the rows of restarts within the worst 10 s."""
    starts = target.assumed("restarts-bunched")
    list_size = slopes.at("list-bytes", target.backends)
    table = RowBuilder(target, Role.CONTROLLER, Situation.RESTARTS_BUNCHED)
    add_joins(table, target, slopes, Loss(starts, 0))
    return [
        *table.rows,
        *replica_snapshot_rows(target, slopes, Situation.RESTARTS_BUNCHED, starts),
        *discovery_list_rows(
            target, list_size, Situation.RESTARTS_BUNCHED, starts / formulas.WORST_WINDOW_S, "worst 10 s"
        ),
    ]
