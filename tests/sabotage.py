"""Faulty controllers, each violating one rule, to show that the checks detect the violation."""

from dataclasses import replace

from embertray.controller.core import ControllerCore
from embertray.controller.stream.messages import Bind, Line, Orders
from embertray.policy import interface as i


class DropsRemovals(ControllerCore):
    """Never sends removals or withdrawals."""

    def advance(self, now):
        step = super().advance(now)
        step.outgoing = [
            (name, with_orders(message, [order for order in message.do if not is_removal(order)]))
            for name, message in step.outgoing
        ]
        return step


def is_removal(order):
    return isinstance(order, Line) and order.weight == 0 or type(order).__name__ == "Withdrawal" and order.out


def with_orders(message, orders):
    return Orders(message.stamp, message.cost, orders, message.nonce)


class SendsEmptyTables(ControllerCore):
    """Binds proxies to tables without lines, and never sends the lines."""

    def advance(self, now):
        step = super().advance(now)
        step.outgoing = [
            (
                name,
                with_orders(
                    message,
                    [
                        Bind(order.table, [], order.levels, order.out) if isinstance(order, Bind) else order
                        for order in message.do
                        if not isinstance(order, Line)
                    ],
                ),
            )
            for name, message in step.outgoing
        ]
        return step


class RetriesNonReplayable(ControllerCore):
    """Lets proxies retry all failed requests twice, including non-replayable ones."""

    def advance(self, now):
        step = super().advance(now)
        step.outgoing = [
            (
                name,
                with_orders(
                    message,
                    [
                        Bind(
                            order.table,
                            order.lines,
                            [(kind.external_id, 1.0, 3) for kind in self.site.kinds],
                            order.out,
                        )
                        if isinstance(order, Bind)
                        else order
                        for order in message.do
                    ],
                ),
            )
            for name, message in step.outgoing
        ]
        return step


class OverloadsColdBackends(ControllerCore):
    """Disables slow start, and gives a cold backend a hundred times its weight."""

    def __init__(self, site, *rest):
        super().__init__(site.at(cold_speed=1.0, warm_up_time=0, overload_multiple=0.0), *rest)
        self.cold = {}

    def advance(self, now):
        step = super().advance(now)
        cold_backends = {
            backend.external_id
            for backend in self.identifiers.backends.values()
            if backend.policy_state and backend.policy_state.started > 0
        }
        step.outgoing = [
            (name, with_orders(message, [overweight_cold(order, cold_backends) for order in message.do]))
            for name, message in step.outgoing
        ]
        return step


def overweight_cold(order, cold_backends):
    if isinstance(order, Line) and order.backend in cold_backends and order.weight:
        return Line(order.table, order.backend, 100.0)
    if isinstance(order, Bind):
        return Bind(
            order.table,
            [(backend, 100.0 if backend in cold_backends else weight) for backend, weight in order.lines],
            order.levels,
            order.out,
        )
    return order


class ResendsUnchangedTables(ControllerCore):
    """Resends every table in each step, whatever is pending."""

    def advance(self, now):
        for table, ordered_table in self.outbox.tables.items():
            orders = [i.SetLine(table, backend, weight) for backend, weight in ordered_table.lines.items()]
            for proxy, message, _ in self.outbox.build_messages(now, orders):
                self.pacer.enqueue(now, proxy, message.cost, message)
        return super().advance(now)


class TooManyMessages(ControllerCore):
    """Sends each proxy a message in every control cycle."""

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


def replace_settings(site, **facts):
    return replace(site, **facts)
