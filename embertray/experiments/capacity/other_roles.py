"""What the other roles spend while nothing fails: control machines, proxies, backends, discovery."""

from . import formulas
from .controller import REPLICAS, list_changes_a_second
from .figure import calculated, derived, unknown
from .names import Part, Quantity, Role, Situation
from .row import ALL_READING, RowBuilder
from .target import SECONDS_PER_DAY

SAMPLE_CHANNEL_RATE = 1_200  # lines per second of the sample site 'pushed'


def steady_rows(target, slopes):
    """Returns the rows of all roles but controllers."""
    return [
        *replica_rows(target, slopes),
        *proxy_rows(target, slopes),
        *backend_rows(target),
        *discovery_rows(target, slopes),
    ]


def replica_rows(target, slopes):
    """Returns the rows of a control machine."""
    rows, subscribers = RowBuilder(target, Role.REPLICA, Situation.PEAK), target.controllers
    mechanism = "replication/: a replica's subscribers, and the other replicas"
    for quantity, name, worst in (
        (Quantity.PROCESSOR, "control-replica-processor", None),
        (Quantity.BYTES_IN, "control-replica-bytes-in", "control-replica-worst-in"),
        (Quantity.BYTES_OUT, "control-replica-bytes-out", "control-replica-worst-out"),
        (Quantity.MEMORY, "control-replica-memory", None),
    ):
        rows.add(
            Part.REPLICATION,
            quantity,
            slopes.at(name, subscribers),
            mechanism,
            worst=worst and slopes.at(worst, subscribers),
            designs=REPLICAS,
        )
    arguments = (target.controllers, target.proxies_per_controller, target.assumed("limits"))
    cost = formulas.limits_through_replicas(*arguments)
    for quantity, value, formula in (
        (
            Quantity.BYTES_IN,
            cost.replica_in,
            "controllers x bytes of an ask / 1 s, all at the one that keeps",
        ),
        (Quantity.STATE, cost.state, "controllers x bytes of an ask"),
    ):
        mechanism = "not built: the shares of limits kept by one replica"
        rows.add(Part.LIMITS, quantity, calculated(formula, value), mechanism, designs=REPLICAS)
    return rows.rows


def proxy_rows(target, slopes):
    """Returns the rows of a proxy: time to pick a backend and time until its first table."""
    rows = RowBuilder(target, Role.PROXY, Situation.PEAK)
    for slope, mechanism in (
        ("pick-p99-round", "models/proxy: a pick from a table that stands"),
        ("pick-changed-p99-round", "models/proxy: the first pick after a changed line, of the dearest way"),
    ):
        rows.add(
            Part.PICK, Quantity.ADDED, slopes.at(slope, target.backends), f"{mechanism}, one line a backend"
        )
    wait = slopes.at("join-wait-most", target.backends)
    rows.add(
        Part.FIRST_TABLE,
        Quantity.DELAY,
        wait,
        "daemon/proxy_streams: from the dial to the first orders, the channel not paced",
    )
    rows.add(
        Part.FIRST_TABLE,
        Quantity.DELAY,
        calculated(
            f"lines of a whole table / {SAMPLE_CHANNEL_RATE:,} lines a second of the sample",
            target.backends / SAMPLE_CHANNEL_RATE,
        ),
        "channel/pacer: the channel as the sample describes it",
    )
    rows.add(
        Part.FIRST_TABLE,
        Quantity.ADDED,
        derived(
            "0 where the share of requests that meet a joining proxy is under 1%, else the longest wait",
            lambda longest: 0.0 if joining_request_share(target, longest) < 0.01 else longest,
            wait,
        ),
        "requests that arrive while their proxy waits for its first table",
    )
    return rows.rows


def joining_request_share(target, wait):
    """Returns the share of all requests that meet a proxy waiting for its first table.

    The share is an upper estimate: every failed machine counts as a controller, whose proxies join others,
    and every restart as that of a proxy.
    """
    joins_a_day = target.restarts_a_day + target.machines_a_day * target.proxies_per_controller
    return joins_a_day * wait / (target.proxies * SECONDS_PER_DAY)


def backend_rows(target):
    """Returns the rows of a backend."""
    rows = RowBuilder(target, Role.BACKEND, Situation.PEAK)
    rows.add(
        Part.PROBES,
        Quantity.BYTES_IN,
        calculated("0: without probes no controller speaks to a backend", 0),
        "a description with probes=false; with probes it is not known",
        readings=ALL_READING,
    )
    return rows.rows


def discovery_rows(target, slopes):
    """Returns the rows of the discovery service."""
    rows = RowBuilder(target, Role.DISCOVERY, Situation.PEAK)
    rows.add(
        Part.ANSWERS,
        Quantity.BYTES_OUT,
        derived(
            "changes of the list a second x change-bytes x controllers",
            lambda rate, size: rate * size * target.controllers,
            list_changes_a_second(target),
            slopes.at("change-bytes", target.backends),
        ),
        "endpoint_list/: each controller follows the list itself",
        worst=derived(
            "one change in 10 s to all controllers",
            lambda size: size * target.controllers / formulas.WORST_WINDOW_S,
            slopes.at("change-bytes", target.backends),
        ),
        readings=ALL_READING,
    )
    rows.add(
        Part.ANSWERS,
        Quantity.PROCESSOR,
        unknown("the list's service is the operators' own"),
        "endpoint_list/",
        readings=ALL_READING,
    )
    return rows.rows
