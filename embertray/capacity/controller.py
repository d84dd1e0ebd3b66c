"""What a controller spends while nothing fails: rows by part, calm and at the peak."""

from . import reckon
from .figure import derived, no_mechanism, reckoned
from .names import Design, Part, Quantity, Role, Situation
from .row import ONLY_ALL, Rows
from .target import DAY

GOSSIP, REPLICAS = (Design.GOSSIP,), (Design.REPLICAS,)
MEASURED_BACKENDS = 250  # behind the controllers of the streams' slopes
LISTED_CHANGES = 2  # that one failed, restarted or replaced machine makes: it goes, and comes


def steady(target, slopes):
    """Rows of a controller in calm and at the peak."""
    return [*calm(target, slopes), *peak(target, slopes)]


def list_changes_a_second(target):
    """Entries of the list that change in a second: machines that fail, and processes that are replaced."""
    rate = LISTED_CHANGES * (target.machines_a_day + target.restarts_a_day) / DAY
    return reckoned("2 x (machines + restarts a day) / 86,400 s", rate)


def decisions(target, slopes):
    """(processor, memory, worst step) of the module: by backends, scaled by what proxies add."""
    measured = []
    for name in ("decisions-processor", "decisions-memory"):
        at_68 = slopes.at(f"{name}-68", target.backends)
        if target.proxies_per_controller == 68:
            measured.append(at_68)
            continue
        by_proxies = [
            slopes.at(f"{name}-by-proxies", proxies) for proxies in (target.proxies_per_controller, 68)
        ]
        formula = f"{name}-68 at the backends x {name}-by-proxies at the proxies / the same at 68"
        measured.append(derived(formula, lambda base, now, then: base * now / then, at_68, *by_proxies))
    return *measured, slopes.at("decisions-step-68", target.backends)


def calm(target, slopes):
    rows, proxies = Rows(target, Role.CONTROLLER, Situation.CALM), target.proxies_per_controller
    rows.add(
        Part.DECISIONS,
        Quantity.PROCESSOR,
        slopes.at("decisions-processor-68-silent", target.backends),
        "choice/: the beat alone, for 68 proxies, nothing heard",
        readings=ONLY_ALL,
    )
    rows.add(
        Part.STREAMS,
        Quantity.PROCESSOR,
        slopes.at("streams-processor", proxies),
        f"daemon/proxies, stream/: streams that say nothing, {MEASURED_BACKENDS} backends behind them",
        readings=ONLY_ALL,
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
        "inventory/follow: one News a change",
        worst=derived(
            "one change in 10 s", lambda size: size / 10, slopes.at("change-bytes", target.backends)
        ),
        readings=ONLY_ALL,
        adds_up=True,
    )
    return rows.rows


def peak(target, slopes):
    rows = Rows(target, Role.CONTROLLER, Situation.PEAK)
    add_decisions(rows, target, slopes)
    add_streams(rows, target, slopes)
    add_list(rows, target, slopes)
    add_gossip(rows, target, slopes)
    add_limits(rows, target)
    add_subscriber(rows, target, slopes)
    add_process(rows, target, slopes)
    return rows.rows


def add_decisions(rows, target, slopes):
    processor, memory, step = decisions(target, slopes)
    told = "choice/: one module for the whole list, all services"
    rows.add(Part.DECISIONS, Quantity.PROCESSOR, processor, told, readings=ONLY_ALL, adds_up=True)
    rows.add(Part.DECISIONS, Quantity.STATE, memory, f"{told}: backends, tables, samples", readings=ONLY_ALL)
    rows.add(Part.DECISIONS, Quantity.DELAY, step, f"{told}: its dearest step", readings=ONLY_ALL)


def add_streams(rows, target, slopes):
    proxies = target.proxies_per_controller
    for part, quantity, slope, worst, told in (
        (Part.STREAMS, Quantity.BYTES_OUT, "streams-bytes-out", "streams-worst-out", "orders and marks"),
        (Part.REPORTS, Quantity.BYTES_IN, "streams-bytes-in", "streams-worst-in", "sums and answers"),
    ):
        rows.add(
            part,
            quantity,
            slopes.at(slope, proxies),
            f"stream/: {told}, each proxy a sum a second",
            worst=slopes.at(worst, proxies),
            readings=ONLY_ALL,
            adds_up=True,
        )
    rows.add(
        Part.REPORTS,
        Quantity.MESSAGES_IN,
        reckoned("proxies a controller x 1 sum a second", proxies),
        "stream/: one Sums a proxy each report cycle of 1 s",
        readings=ONLY_ALL,
    )
    rows.add(
        Part.STREAMS,
        Quantity.PROCESSOR,
        derived(
            f"streams-processor less decisions-processor-68 at {MEASURED_BACKENDS} backends",
            lambda whole, module: max(0.0, whole - module),
            slopes.at("streams-processor", proxies),
            slopes.at("decisions-processor-68", MEASURED_BACKENDS),
        ),
        "daemon/proxies, channel/: streams, outbox, timers; the module's part is in decisions",
        readings=ONLY_ALL,
        adds_up=True,
    )
    rows.add(
        Part.REPORTS,
        Quantity.PROCESSOR,
        slopes.at("reports-processor", proxies),
        "stream/, reports/: reading and merging sums, the steps that they cause",
        readings=ONLY_ALL,
        adds_up=True,
    )
    rows.add(
        Part.STREAMS,
        Quantity.STATE,
        slopes.at("streams-memory", proxies),
        "daemon/proxies: streams, queues, what the module keeps of a proxy",
        readings=ONLY_ALL,
    )


def add_list(rows, target, slopes):
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
        "inventory/follow and one step of the module",
        readings=ONLY_ALL,
        adds_up=True,
    )
    rows.add(
        Part.LIST,
        Quantity.STATE,
        slopes.at("list-memory", target.backends),
        "inventory/follow: all entries",
        readings=ONLY_ALL,
    )


def add_gossip(rows, target, slopes):
    members, told = target.controllers, "cluster/: probes and exchanges among all controllers"
    sent = slopes.at("cluster-sent-bytes", members)
    received = slopes.at("cluster-received-bytes", members)
    if not received.known:
        received = derived("what all send is received: as sent", lambda value: value, sent)
    for quantity, figure, adds_up in (
        (Quantity.PROCESSOR, slopes.at("cluster-processor", members), True),
        (Quantity.BYTES_OUT, sent, True),
        (Quantity.BYTES_IN, received, True),
        (Quantity.MESSAGES_OUT, slopes.at("cluster-sent-messages", members), False),
        (Quantity.STATE, state_of_gossip(target), False),
        (Quantity.MEMORY, slopes.at("cluster-memory", members), True),
        (Quantity.SEEN, slopes.at("cluster-members-seen", members), False),
        (Quantity.IN_FORCE, slopes.at("cluster-oldest", members), False),
        (Quantity.STALENESS, staleness(target), False),
    ):
        rows.add(Part.MEMBERSHIP, quantity, figure, told, designs=GOSSIP, adds_up=adds_up)
    rows.add(
        Part.CONFIGURATION,
        Quantity.IN_FORCE,
        no_mechanism("a description is read at the start; no version of it is told to all"),
        "none",
        designs=GOSSIP,
    )


def state_of_gossip(target):
    return reckoned(
        "controllers x facts-bytes, without the names of members",
        target.controllers * target.assumed("facts-bytes"),
    )


def staleness(target):
    return reckoned(
        "2 (n - 1) T + E + T; T 1 s, E 2 s (docs/design/cluster.md)",
        reckon.staleness_promised(target.controllers),
    )


def add_limits(rows, target):
    shape = (target.controllers, target.proxies_per_controller, target.assumed("limits"))
    ask = reckon.ask_bytes(target.proxies_per_controller, target.assumed("limits"), target.controllers - 1)
    for cost, designs, told, formula in (
        (
            reckon.limits_each_to_each(*shape),
            GOSSIP,
            "fleet/limits (not in service yet): an ask from each to all others each second",
            f"(controllers - 1) x an ask of {ask:,} bytes / 1 s",
        ),
        (
            reckon.limits_through_replicas(*shape),
            REPLICAS,
            "not built: an ask to one's replica each second, a grant back",
            "bytes of an ask that names nobody else / 1 s; of a grant / 1 s",
        ),
    ):
        for quantity, value in (
            (Quantity.BYTES_OUT, cost.controller_out),
            (Quantity.BYTES_IN, cost.controller_in),
        ):
            rows.add(Part.LIMITS, quantity, reckoned(formula, value), told, designs=designs, adds_up=True)
    rows.add(
        Part.LIMITS,
        Quantity.STATE,
        reckoned("controllers x bytes of an ask", reckon.limits_each_to_each(*shape).state),
        "fleet/limits: the last ask of each member, at whoever keeps",
        designs=GOSSIP,
    )


def add_subscriber(rows, target, slopes):
    subscribers, told = target.controllers, "control/: one replica followed, changed keys only"
    for quantity, slope, adds_up in (
        (Quantity.PROCESSOR, "control-subscriber-processor", True),
        (Quantity.BYTES_IN, "control-subscriber-bytes", True),
        (Quantity.MEMORY, "control-subscriber-memory", True),
        (Quantity.IN_FORCE, "control-time-to-all", False),
    ):
        figure = slopes.at(slope, subscribers)
        rows.add(Part.CONFIGURATION, quantity, figure, told, designs=REPLICAS, adds_up=adds_up)
    entry, bunched = target.assumed("entry-bytes"), target.assumed("changes-in-worst-10s")
    rows.add(
        Part.CONFIGURATION,
        Quantity.BYTES_IN,
        reckoned("changes a second x entry-bytes", target.changes_a_second * entry),
        f"{told}: the entries alone, without heartbeats, heads and digests",
        worst=reckoned("changes-in-worst-10s x entry-bytes / 10 s", bunched * entry / reckon.WORST),
        designs=REPLICAS,
    )
    rows.add(
        Part.CONFIGURATION,
        Quantity.STATE,
        reckoned(
            "(services + routes) x entry-bytes", target.configuration_keys * target.assumed("entry-bytes")
        ),
        f"{told}: the newest entry of each key",
        designs=REPLICAS,
    )


def add_process(rows, target, slopes):
    """Memory of the whole process: measured with few backends, the module's and the list's growth added."""
    proxies = target.proxies_per_controller
    module = decisions(target, slopes)[1]
    rows.add(
        Part.BASE,
        Quantity.MEMORY,
        derived(
            f"controller-memory + decisions-memory less that at {MEASURED_BACKENDS} backends + list-memory",
            lambda whole, now, then, listed: whole + now - then + listed,
            slopes.at("controller-memory", proxies),
            module,
            slopes.at("decisions-memory-68", MEASURED_BACKENDS),
            slopes.at("list-memory", target.backends),
        ),
        "`embertray serve`: resident, all parts but cluster and control",
        readings=ONLY_ALL,
        adds_up=True,
    )
