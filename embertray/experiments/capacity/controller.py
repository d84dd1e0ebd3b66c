"""What a controller spends while nothing fails: rows by part, idle (calm) and at the peak."""

from . import formulas
from .figure import calculated, derived, no_mechanism
from .names import Design, Part, Quantity, Role, Situation
from .row import ALL_READING, RowBuilder
from .target import SECONDS_PER_DAY

GOSSIP, REPLICAS = (Design.GOSSIP,), (Design.REPLICAS,)
MEASURED_PROXIES = 68  # of the slopes by backends; as many per controller as in the operators' target
STREAM_BASELINE_BACKENDS = 17  # so few that streams cost more than the policy
LIST_CHANGES_PER_MACHINE = 2  # a failed, restarted or replaced machine leaves and joins


def steady_rows(target, slopes):
    """Returns the rows of a controller, calm and at the peak."""
    return [*calm_rows(target, slopes), *peak_rows(target, slopes)]


def list_changes_a_second(target):
    """Returns the changes of the endpoint list per second, by failed machines and restarted processes."""
    rate = LIST_CHANGES_PER_MACHINE * (target.machines_a_day + target.restarts_a_day) / SECONDS_PER_DAY
    return calculated("2 x (machines + restarts a day) / 86,400 s", rate)


def scaled_by_proxies(target, slopes, by_backends, by_proxies):
    """Returns a figure for the backends and proxies of the target.

    It was measured against backends with MEASURED_PROXIES, and against proxies: the first slope gives the
    value, which the second scales if the target has another number of proxies.
    """
    measured = slopes.at(by_backends, target.backends)
    if target.proxies_per_controller == MEASURED_PROXIES:
        return measured
    at_target, at_measured = (
        slopes.at(by_proxies, n) for n in (target.proxies_per_controller, MEASURED_PROXIES)
    )
    return derived(
        f"{by_backends} at the backends x {by_proxies} at the proxies / the same at {MEASURED_PROXIES}",
        lambda base, at_target, at_measured: base * at_target / at_measured if at_measured else 0.0,
        measured,
        at_target,
        at_measured,
    )


def decisions_cost(target, slopes, name):
    """Returns a figure of the policy's slopes for the target."""
    return scaled_by_proxies(target, slopes, f"{name}-{MEASURED_PROXIES}", f"{name}-by-proxies")


def streams_cost(target, slopes, name):
    """Returns a figure of the streams' slopes for the target."""
    return scaled_by_proxies(target, slopes, f"{name}-by-backends", name)


def silent_decisions_cost(target, slopes):
    """Returns the processor time of the policy's periodic step when no events arrive."""
    return slopes.at(f"decisions-processor-{MEASURED_PROXIES}-silent", target.backends)


def calm_rows(target, slopes):
    """Returns the rows of a controller without load."""
    rows = RowBuilder(target, Role.CONTROLLER, Situation.CALM)
    rows.add(
        Part.DECISIONS,
        Quantity.PROCESSOR,
        silent_decisions_cost(target, slopes),
        f"policy/: the beat alone, each 250 ms over all backends, {MEASURED_PROXIES} proxies, nothing heard",
        readings=ALL_READING,
    )
    rows.add(
        Part.WHOLE,
        Quantity.PROCESSOR,
        streams_cost(target, slopes, "streams-processor"),
        "`embertray serve`, streams that say nothing",
        readings=ALL_READING,
    )
    rows.add(
        Part.LIST,
        Quantity.BYTES_IN,
        derived(
            "changes of the list a second x change-bytes",
            lambda rate, size: rate * size,
            list_changes_a_second(target),
            slopes.at("change-bytes", target.backends),
        ),
        "endpoint_list/follower: one News a change",
        worst=derived(
            "one change in 10 s", lambda size: size / 10, slopes.at("change-bytes", target.backends)
        ),
        readings=ALL_READING,
        in_total=True,
    )
    return rows.rows


def peak_rows(target, slopes):
    """Returns the rows of a controller at the peak load."""
    rows = RowBuilder(target, Role.CONTROLLER, Situation.PEAK)
    add_decisions(rows, target, slopes)
    add_streams(rows, target, slopes)
    add_list(rows, target, slopes)
    add_gossip(rows, target, slopes)
    add_limits(rows, target)
    add_subscriber(rows, target, slopes)
    add_process(rows, target, slopes)
    return rows.rows


def add_decisions(rows, target, slopes):
    """Adds the processor time, state and longest step of the policy."""
    mechanism = "policy/: one module for the whole list, all services"
    for quantity, figure in (
        (Quantity.PROCESSOR, decisions_cost(target, slopes, "decisions-processor")),
        (Quantity.STATE, decisions_cost(target, slopes, "decisions-memory")),
        (Quantity.DELAY, slopes.at(f"decisions-step-{MEASURED_PROXIES}", target.backends)),
    ):
        description = mechanism + (": its dearest step" if quantity is Quantity.DELAY else "")
        rows.add(Part.DECISIONS, quantity, figure, description, readings=ALL_READING)


def add_streams(rows, target, slopes):
    """Adds the bytes, messages, processor time and state of the proxies' streams and reports."""
    for part, quantity, mean, worst, mechanism in (
        (Part.STREAMS, Quantity.BYTES_OUT, "streams-bytes-out", "streams-worst-out", "orders and marks"),
        (Part.REPORTS, Quantity.BYTES_IN, "streams-bytes-in", "streams-worst-in", "sums and answers"),
    ):
        rows.add(
            part,
            quantity,
            streams_cost(target, slopes, mean),
            f"stream/: {mechanism}, each proxy a sum a second, the channel not paced",
            worst=streams_cost(target, slopes, worst),
            readings=ALL_READING,
            in_total=True,
        )
    rows.add(
        Part.REPORTS,
        Quantity.MESSAGES_IN,
        calculated("proxies a controller x 1 sum a second", target.proxies_per_controller),
        "stream/: one Sums a proxy each report cycle of 1 s",
        readings=ALL_READING,
    )
    add_streams_processor(rows, target, slopes)
    rows.add(
        Part.STREAMS,
        Quantity.STATE,
        streams_cost(target, slopes, "streams-memory"),
        "daemon/proxy_streams: streams, queues, and what the module keeps for them",
        readings=ALL_READING,
    )


def add_streams_processor(rows, target, slopes):
    """Adds the processor time of the process.

    One row is the whole process; two are what remains without the policy, for silent streams and for reports.
    """
    silent = streams_cost(target, slopes, "streams-processor")
    reports = streams_cost(target, slopes, "reports-processor")
    rows.add(
        Part.WHOLE,
        Quantity.PROCESSOR,
        derived("streams-processor + reports-processor", lambda *parts: sum(parts), silent, reports),
        "`embertray serve` under its proxies, each a sum a second: decisions, streams and reports together",
        readings=ALL_READING,
        in_total=True,
    )
    rows.add(
        Part.STREAMS,
        Quantity.PROCESSOR,
        derived(
            "(streams-processor-by-backends less decisions-processor-silent, both at "
            f"{STREAM_BASELINE_BACKENDS} backends) x proxies a controller / {MEASURED_PROXIES}",
            lambda process, decisions: (
                max(0.0, process - decisions) * target.proxies_per_controller / MEASURED_PROXIES
            ),
            slopes.at("streams-processor-by-backends", STREAM_BASELINE_BACKENDS),
            slopes.at(f"decisions-processor-{MEASURED_PROXIES}-silent", STREAM_BASELINE_BACKENDS),
        ),
        "daemon/proxy_streams, channel/: streams, outbox, timers",
        readings=ALL_READING,
    )
    rows.add(
        Part.REPORTS,
        Quantity.PROCESSOR,
        derived(
            "reports-processor less what the module takes for what it hears",
            lambda process, loaded, silent: max(0.0, process - max(0.0, loaded - silent)),
            reports,
            decisions_cost(target, slopes, "decisions-processor"),
            silent_decisions_cost(target, slopes),
        ),
        "stream/, report_intake, channel/: reading and merging sums, the orders that follow",
        readings=ALL_READING,
    )


def add_list(rows, target, slopes):
    """Adds the processor time and state of following the endpoint list."""
    change = derived(
        "changes of the list a second x (change-processor-68 + change-read-processor)",
        lambda rate, apply, read: rate * (apply + read),
        list_changes_a_second(target),
        slopes.at("change-processor-68", target.backends),
        slopes.at("change-read-processor", target.backends),
    )
    rows.add(
        Part.LIST,
        Quantity.PROCESSOR,
        change,
        "endpoint_list/follower and one step of the module",
        readings=ALL_READING,
        in_total=True,
    )
    rows.add(
        Part.LIST,
        Quantity.STATE,
        slopes.at("list-memory", target.backends),
        "endpoint_list/follower: all entries",
        readings=ALL_READING,
    )


def add_gossip(rows, target, slopes):
    """Adds the cost of membership and shared state, and how long they take to reach all controllers."""
    members, mechanism = target.controllers, "cluster/: probes and exchanges among all controllers"
    sent = slopes.at("cluster-sent-bytes", members)
    received = slopes.at("cluster-received-bytes", members)
    if not received.known:
        received = derived("what all send is received: as sent", lambda value: value, sent)
    for quantity, figure, in_total in (
        (Quantity.PROCESSOR, slopes.at("cluster-processor", members), True),
        (Quantity.BYTES_IN, received, True),
        (Quantity.MESSAGES_OUT, slopes.at("cluster-sent-messages", members), False),
        (Quantity.STATE, gossip_state(target), False),
        (Quantity.MEMORY, slopes.at("cluster-memory", members), True),
        (Quantity.SEEN, slopes.at("cluster-members-seen", members), False),
        (Quantity.OLDEST, slopes.at("cluster-oldest", members), False),
        (Quantity.IN_FORCE, slopes.at("cluster-time-to-all", members), False),
        (Quantity.STALENESS, gossip_staleness(target), False),
    ):
        rows.add(Part.MEMBERSHIP, quantity, figure, mechanism, designs=GOSSIP, in_total=in_total)
    rows.add(
        Part.MEMBERSHIP,
        Quantity.BYTES_OUT,
        sent,
        mechanism,
        worst=slopes.at("cluster-sent-worst", members),
        designs=GOSSIP,
        in_total=True,
    )
    rows.add(
        Part.CONFIGURATION,
        Quantity.IN_FORCE,
        no_mechanism("a description is read at the start; no version of it is told to all"),
        "none",
        designs=GOSSIP,
    )


def gossip_state(target):
    """Returns the bytes of shared state that a controller holds."""
    return calculated(
        "controllers x facts-bytes, without the names of members",
        target.controllers * target.assumed("facts-bytes"),
    )


def gossip_staleness(target):
    """Returns the bound on the age of shared state."""
    return calculated(
        "2 (n - 1) T + E + T; T 1 s, E 2 s (docs/design/cluster.md)",
        formulas.staleness_bound(target.controllers),
    )


def add_limits(rows, target):
    """Adds the traffic of sharing quotas in both designs, and the state that it needs with gossip."""
    arguments = (target.controllers, target.proxies_per_controller, target.assumed("limits"))
    request_bytes = formulas.quota_request_bytes(
        target.proxies_per_controller, target.assumed("limits"), target.controllers - 1
    )
    for cost, designs, mechanism, formula in (
        (
            formulas.limits_all_to_all(*arguments),
            GOSSIP,
            "cluster/limits (not in service yet): an ask from each to all others each second",
            f"(controllers - 1) x an ask of {request_bytes:,} bytes / 1 s",
        ),
        (
            formulas.limits_through_replicas(*arguments),
            REPLICAS,
            "not built: an ask to one's replica each second, a grant back",
            "bytes of an ask that names nobody else / 1 s; of a grant / 1 s",
        ),
    ):
        for quantity, value in (
            (Quantity.BYTES_OUT, cost.controller_out),
            (Quantity.BYTES_IN, cost.controller_in),
        ):
            rows.add(
                Part.LIMITS, quantity, calculated(formula, value), mechanism, designs=designs, in_total=True
            )
    rows.add(
        Part.LIMITS,
        Quantity.STATE,
        calculated("controllers x bytes of an ask", formulas.limits_all_to_all(*arguments).state),
        "cluster/limits: the last ask of each member, at whoever keeps",
        designs=GOSSIP,
    )


def add_subscriber(rows, target, slopes):
    """Adds the measured cost of following a replica."""
    mechanism = "replication/: one replica followed, changed keys only"
    for quantity, name, worst, in_total in (
        (Quantity.PROCESSOR, "control-subscriber-processor", None, True),
        (Quantity.BYTES_IN, "control-subscriber-bytes-in", "control-subscriber-worst-in", True),
        (Quantity.BYTES_OUT, "control-subscriber-bytes-out", "control-subscriber-worst-out", True),
        (Quantity.MEMORY, "control-subscriber-memory", None, True),
        (Quantity.OLDEST, "control-subscriber-oldest", None, False),
        (Quantity.IN_FORCE, "control-time-to-all", None, False),
    ):
        rows.add(
            Part.CONFIGURATION,
            quantity,
            slopes.at(name, target.controllers),
            mechanism,
            worst=worst and slopes.at(worst, target.controllers),
            designs=REPLICAS,
            in_total=in_total,
        )


def add_process(rows, target, slopes):
    """Adds the resident memory of the process."""
    rows.add(
        Part.BASE,
        Quantity.MEMORY,
        streams_cost(target, slopes, "controller-memory"),
        "`embertray serve`: resident, all parts but cluster and control",
        readings=ALL_READING,
        in_total=True,
    )
