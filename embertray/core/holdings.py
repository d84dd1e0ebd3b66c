"""What a controller's parts hold, by purpose: the shelves that the accounts count. Reads, never changes."""

from .. import interface as i
from ..choice.actor import Actor
from ..memory.sizes import Shelf

HANDLES = (i.Handle, i.RequestKind, Actor)


def shelves(it):
    """purpose -> shelves of an Instance, without its streams (those are the daemon's)."""
    module, box, identifiers = it.module, it.outbox, it.identifiers
    tables, ordered = module.channel.tables, list(box.tables.values())
    lines = [table.lines for table in ordered] + [
        book for table in tables for book in (table.want, table.sent)
    ]
    proxies, backends = module.proxies, module.backends

    def samples():
        for part in [*backends, *proxies]:
            yield from part.samples.rows

    def lists(*books):
        return lambda: (item for book in books for item in book.items())

    users = [table.users for table in ordered]
    told = list(box.out.values())
    held = [proxy.messages.open for proxy in proxies] + [proxy.messages.written for proxy in proxies]
    return {
        "tables": [
            Shelf("lines", sum(map(len, lines)), lists(*lines), lines, HANDLES),
            Shelf(
                "levels",
                sum(len(table.levels) for table in ordered),
                lists(*(t.levels for t in ordered)),
                (),
                HANDLES,
            ),
            Shelf(
                "users",
                sum(map(len, users)) + len(box.bound),
                lists(*users, box.bound),
                [*users, box.bound],
                HANDLES,
            ),
            Shelf(
                "withdrawn",
                sum(map(len, told)) + len(module.channel.withdrawn),
                lists(*told, module.channel.withdrawn),
                [*told, box.out],
                HANDLES,
            ),
        ],
        "list": [Shelf("starts", len(it.starts), it.starts.items, [it.starts, it.state], HANDLES)],
        "reports": [
            Shelf("waiting", len(it.intake.waiting), it.intake.waiting.items, [it.intake.waiting], HANDLES),
            Shelf(
                "rounds",
                sum(len(r.lines) + len(r.spans) for r in it.intake.rounds.values()),
                lists(*(book for r in it.intake.rounds.values() for book in (r.lines, r.spans))),
                (),
                HANDLES,
            ),
            Shelf(
                "demand",
                it.reduced.gauge.size(),
                lists(*it.reduced.gauge.words.values()),
                list(it.reduced.gauge.words.values()),
                HANDLES,
            ),
            Shelf("samples", sum(len(p.samples.rows) for p in (*backends, *proxies)), samples, (), HANDLES),
        ],
        "channel": [
            Shelf("messages", len(it.pacer.queue), lambda: it.pacer.queue, [it.pacer.queue], HANDLES),
            Shelf(
                "nonces",
                len(identifiers.nonces) + len(it.stamps),
                lists(identifiers.nonces, it.stamps),
                [identifiers.nonces, it.stamps],
                (i.RequestKind, Actor),
            ),
            Shelf(
                "open", sum(map(len, held)), lambda: (item for book in held for item in book), held, HANDLES
            ),
            Shelf("open here", sum(map(len, it.open.values())), lambda: it.open.values(), [it.open], HANDLES),
            Shelf(
                "flights",
                sum(len(sent) for sent, _ in module.channel.flights.by_nonce.values()),
                lambda: (
                    item for sent, _ in module.channel.flights.by_nonce.values() for item in sent.items()
                ),
                [
                    module.channel.flights.by_nonce,
                    *(sent for sent, _ in module.channel.flights.by_nonce.values()),
                ],
                HANDLES,
            ),
        ],
        "names": [
            Shelf(
                "handles",
                len(identifiers.backends) + len(identifiers.proxies) + len(identifiers.zones),
                lists(identifiers.backends, identifiers.proxies, identifiers.zones),
                [identifiers.backends, identifiers.proxies, identifiers.zones],
                (Actor,),
            ),
            Shelf(
                "actors",
                len(backends) + len(proxies),
                lambda: iter([*backends, *proxies]),
                [backends, proxies],
                (i.Handle, i.RequestKind),
                ("owner", "site", "samples", "messages", "handle", "table"),
            ),
        ],
        "probes": [Shelf("under way", len(it.probing), it.probing.items, [it.probing], HANDLES)],
    }
