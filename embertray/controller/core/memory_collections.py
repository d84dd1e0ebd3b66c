"""What a controller's parts hold, by purpose: the collections that the accounts count. Changes nothing."""

from embertray.common.memory.sizing import Collection
from embertray.policy import interface as i
from embertray.policy.backend import BackendState
from embertray.policy.proxy import ProxyState

STATES = (BackendState, ProxyState)
HANDLES = (i.Handle, i.RequestKind, *STATES)


def collections(it):
    """Purpose -> collections of an ControllerCore, without its streams (those are the daemon's)."""
    module, box, identifiers = it.module, it.outbox, it.identifiers
    tables, ordered = module.publisher.tables.all, list(box.tables.values())
    lines = [table.lines for table in ordered] + [
        book for table in tables for book in (table.want, table.sent)
    ]
    proxies, backends = module.proxies, module.backends

    def samples():
        for part in [*backends, *proxies]:
            yield from part.samples.rows

    def lists(*books):
        return lambda: (item for book in books for item in book.items())

    users = [table.proxies for table in ordered]
    informed = list(box.withdrawn.values())
    held = [proxy.messages.open for proxy in proxies] + [proxy.messages.written for proxy in proxies]
    return {
        "tables": [
            Collection("lines", sum(map(len, lines)), lists(*lines), lines, HANDLES),
            Collection(
                "levels",
                sum(len(table.levels) for table in ordered),
                lists(*(t.levels for t in ordered)),
                (),
                HANDLES,
            ),
            Collection(
                "users",
                sum(map(len, users)) + len(box.bound),
                lists(*users, box.bound),
                [*users, box.bound],
                HANDLES,
            ),
            Collection(
                "withdrawn",
                sum(map(len, informed)) + len(module.publisher.removal.withdrawn),
                lists(*informed, module.publisher.removal.withdrawn),
                [*informed, box.withdrawn],
                HANDLES,
            ),
        ],
        "list": [
            Collection(
                "starts", len(it.start_times), it.start_times.items, [it.start_times, it.state], HANDLES
            )
        ],
        "reports": [
            Collection(
                "waiting", len(it.intake.waiting), it.intake.waiting.items, [it.intake.waiting], HANDLES
            ),
            Collection(
                "rounds",
                sum(len(r.lines) + len(r.spans) for r in it.intake.rounds.values()),
                lists(*(book for r in it.intake.rounds.values() for book in (r.lines, r.spans))),
                (),
                HANDLES,
            ),
            Collection(
                "demand",
                it.ladder.loss_meter.load_count(),
                lists(*it.ladder.loss_meter.loads.values()),
                list(it.ladder.loss_meter.loads.values()),
                HANDLES,
            ),
            Collection(
                "samples", sum(len(p.samples.rows) for p in (*backends, *proxies)), samples, (), HANDLES
            ),
        ],
        "channel": [
            Collection("messages", len(it.pacer.queue), lambda: it.pacer.queue, [it.pacer.queue], HANDLES),
            Collection(
                "nonces",
                len(identifiers.nonces) + len(it.stamps),
                lists(identifiers.nonces, it.stamps),
                [identifiers.nonces, it.stamps],
                (i.RequestKind, *STATES),
            ),
            Collection(
                "open", sum(map(len, held)), lambda: (item for book in held for item in book), held, HANDLES
            ),
            Collection(
                "open here", sum(map(len, it.open.values())), lambda: it.open.values(), [it.open], HANDLES
            ),
            Collection(
                "flights",
                sum(len(sent) for sent, _ in module.publisher.budget.in_flight.by_nonce.values()),
                lambda: (
                    item
                    for sent, _ in module.publisher.budget.in_flight.by_nonce.values()
                    for item in sent.items()
                ),
                [
                    module.publisher.budget.in_flight.by_nonce,
                    *(sent for sent, _ in module.publisher.budget.in_flight.by_nonce.values()),
                ],
                HANDLES,
            ),
        ],
        "names": [
            Collection(
                "handles",
                len(identifiers.backends) + len(identifiers.proxies) + len(identifiers.zones),
                lists(identifiers.backends, identifiers.proxies, identifiers.zones),
                [identifiers.backends, identifiers.proxies, identifiers.zones],
                STATES,
            ),
            Collection(
                "actors",
                len(backends) + len(proxies),
                lambda: iter([*backends, *proxies]),
                [backends, proxies],
                (i.Handle, i.RequestKind),
                ("context", "samples", "messages", "handle", "table"),
            ),
        ],
        "probes": [Collection("under way", len(it.probing), it.probing.items, [it.probing], HANDLES)],
    }
