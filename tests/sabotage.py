"""Controllers that each break one rule, to show that its check can fail."""

from dataclasses import replace

from embertray.controller.core import ControllerCore
from embertray.controller.stream.messages import Bind, Line, Orders
from embertray.policy import interface as i


class DropsRemovals(ControllerCore):
    """Removals and withdrawals never leave."""

    def advance(self, now):
        step = super().advance(now)
        step.outgoing = [
            (name, with_orders(m, [do for do in m.do if not is_removal(do)])) for name, m in step.outgoing
        ]
        return step


def is_removal(do):
    return isinstance(do, Line) and do.weight == 0 or type(do).__name__ == "Withdrawal" and do.out


def with_orders(message, do):
    return Orders(message.stamp, message.cost, do, message.nonce)


class SendsEmptyTables(ControllerCore):
    """Proxies are bound to tables without lines, which come too late: never."""

    def advance(self, now):
        step = super().advance(now)
        step.outgoing = [
            (
                name,
                with_orders(
                    m,
                    [
                        Bind(do.table, [], do.levels, do.out) if isinstance(do, Bind) else do
                        for do in m.do
                        if not isinstance(do, Line)
                    ],
                ),
            )
            for name, m in step.outgoing
        ]
        return step


class RetriesNonReplayable(ControllerCore):
    """Whatever fails is tried twice more, also what must not run twice."""

    def advance(self, now):
        step = super().advance(now)
        step.outgoing = [
            (
                name,
                with_orders(
                    m,
                    [
                        Bind(do.table, do.lines, [(k.external_id, 1.0, 3) for k in self.site.kinds], do.out)
                        if isinstance(do, Bind)
                        else do
                        for do in m.do
                    ],
                ),
            )
            for name, m in step.outgoing
        ]
        return step


class OverloadsColdBackends(ControllerCore):
    """The module is told that nothing starts cold, and a cold one gets a hundred times its part."""

    def __init__(self, site, *rest):
        super().__init__(site.at(cold_speed=1.0, warm_up_time=0, overload_multiple=0.0), *rest)
        self.cold = {}

    def advance(self, now):
        step = super().advance(now)
        new = {
            backend.external_id
            for backend in self.identifiers.backends.values()
            if backend.policy_state and backend.policy_state.started > 0
        }
        step.outgoing = [
            (name, with_orders(m, [overweight_cold(do, new) for do in m.do])) for name, m in step.outgoing
        ]
        return step


def overweight_cold(do, new):
    if isinstance(do, Line) and do.backend in new and do.weight:
        return Line(do.table, do.backend, 100.0)
    if isinstance(do, Bind):
        return Bind(
            do.table,
            [(backend, 100.0 if backend in new else w) for backend, w in do.lines],
            do.levels,
            do.out,
        )
    return do


class ResendsUnchangedTables(ControllerCore):
    """Orders every table anew on each step, whatever waits."""

    def advance(self, now):
        for table, ordered_table in self.outbox.tables.items():
            orders = [i.SetLine(table, backend, w) for backend, w in ordered_table.lines.items()]
            for proxy, message, _ in self.outbox.build_messages(now, orders):
                self.pacer.enqueue(now, proxy, message.cost, message)
        return super().advance(now)


class TooManyMessages(ControllerCore):
    """A message for each beat to each proxy."""

    def advance(self, now):
        if now - getattr(self, "last", 0) > 250_000_000:
            self.last = now
            for table, ordered_table in self.outbox.tables.items():
                backend = next(iter(ordered_table.lines), None)
                if backend:
                    for proxy, message, _ in self.outbox.build_messages(
                        now, [i.SetLine(table, backend, ordered_table.lines[backend])]
                    ):
                        self.pacer.enqueue(now, proxy, message.cost, message)
        return super().advance(now)


def other(site, **facts):
    return replace(site, **facts)
