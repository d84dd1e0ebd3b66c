"""Lists the collections that the parts of a controller store, by the purpose of their memory account.

The collections are only read. The size of an entry does not include handles and the policy's states, which
are counted once, under "names".
"""

from embertray.common.memory.sizing import Collection
from embertray.policy import interface as i
from embertray.policy.backend import BackendState
from embertray.policy.proxy import ProxyState

STATE_TYPES = (BackendState, ProxyState)
HANDLE_TYPES = (i.Handle, i.RequestKind, *STATE_TYPES)
# Attributes of a state that are counted in other collections.
COUNTED_ELSEWHERE = ("context", "samples", "messages", "handle", "table")


def memory_collections(core):
    """Lists the collections of a controller's parts, except its streams, which belong to the daemon.

    Args:
        core: The MemoryBoundRunner.

    Returns:
        Purpose -> Collections.
    """
    return {
        "tables": _tables(core),
        "list": [
            Collection(
                "starts",
                len(core.start_times),
                core.start_times.items,
                [core.start_times, core.state],
                HANDLE_TYPES,
            )
        ],
        "reports": _reports(core),
        "channel": _channel(core),
        "names": _names(core),
        "probes": [_dict_collection("under way", core.probes_in_flight)],
    }


def _items(dicts):
    """Returns a function that iterates over the items of all the dicts."""
    return lambda: (item for one in dicts for item in one.items())


def _dict_collection(name, entries):
    return Collection(name, len(entries), entries.items, [entries], HANDLE_TYPES)


def _total(containers):
    return sum(len(container) for container in containers)


def _tables(core):
    policy = core.policy
    ordered = list(core.outbox.tables.values())
    lines = [table.lines for table in ordered]
    for table in policy.publisher.tables.all:
        lines += [table.desired, table.sent]
    levels = [table.levels for table in ordered]
    users = [table.proxies for table in ordered]
    notified = list(core.outbox.withdrawn.values())
    withdrawn = policy.publisher.removal.withdrawn
    bound = core.outbox.bound
    return [
        Collection("lines", _total(lines), _items(lines), lines, HANDLE_TYPES),
        Collection("levels", _total(levels), _items(levels), (), HANDLE_TYPES),
        Collection("users", _total([*users, bound]), _items([*users, bound]), [*users, bound], HANDLE_TYPES),
        Collection(
            "withdrawn",
            _total([*notified, withdrawn]),
            _items([*notified, withdrawn]),
            [*notified, core.outbox.withdrawn],
            HANDLE_TYPES,
        ),
    ]


def _reports(core):
    rounds = []
    for open_round in core.intake.rounds.values():
        rounds += [open_round.reports, open_round.spans]
    meter = core.ladder.loss_meter
    loads = list(meter.loads.values())
    samples = [state.samples.rows for state in (*core.policy.backends, *core.policy.proxies)]
    return [
        _dict_collection("waiting", core.intake.waiting),
        Collection("rounds", _total(rounds), _items(rounds), (), HANDLE_TYPES),
        Collection("demand", meter.load_count(), _items(loads), loads, HANDLE_TYPES),
        Collection(
            "samples", _total(samples), lambda: (row for rows in samples for row in rows), (), HANDLE_TYPES
        ),
    ]


def _channel(core):
    queue = core.pacer.queue
    nonces = core.identifiers.nonces
    sent_at = core.nonces.sent_at
    by_proxy = core.nonces.by_proxy
    proxies = core.policy.proxies
    unacknowledged = [proxy.messages.unacknowledged for proxy in proxies]
    unacknowledged += [proxy.messages.write_times for proxy in proxies]
    by_nonce = core.policy.publisher.budget.in_flight.by_nonce
    in_flight = [sent for sent, _ in by_nonce.values()]
    return [
        Collection("messages", len(queue), lambda: queue, [queue], HANDLE_TYPES),
        Collection(
            "nonces",
            len(nonces) + len(sent_at),
            _items([nonces, sent_at]),
            [nonces, sent_at],
            (i.RequestKind, *STATE_TYPES),
        ),
        Collection(
            "open",
            _total(unacknowledged),
            lambda: (item for one in unacknowledged for item in one),
            unacknowledged,
            HANDLE_TYPES,
        ),
        Collection(
            "open here", _total(by_proxy.values()), lambda: by_proxy.values(), [by_proxy], HANDLE_TYPES
        ),
        Collection("flights", _total(in_flight), _items(in_flight), [by_nonce, *in_flight], HANDLE_TYPES),
    ]


def _names(core):
    identifiers = core.identifiers
    handles = [identifiers.backends, identifiers.proxies, identifiers.zones]
    backends = core.policy.backends
    proxies = core.policy.proxies
    return [
        Collection("handles", _total(handles), _items(handles), handles, STATE_TYPES),
        Collection(
            "actors",
            len(backends) + len(proxies),
            lambda: iter([*backends, *proxies]),
            [backends, proxies],
            (i.Handle, i.RequestKind),
            COUNTED_ELSEWHERE,
        ),
    ]
