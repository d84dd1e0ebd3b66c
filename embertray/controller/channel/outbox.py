"""Turns the orders of one step into one message for each affected proxy, with its cost in lines.

It keeps what was ordered so far: the tables, which proxy is bound to which, and which proxies were notified
of which withdrawal. A joined proxy that is not bound yet may use any backend (its standing table), so it is
notified of all withdrawals.
"""

from typing import Any, NamedTuple

from embertray.controller.stream.messages import Bind, Level, Line, Orders, Withdrawal
from embertray.policy import interface as i

from .ordered_table import OrderedLevel, OrderedTable

UNLIMITED_SHARE = 1.0  # an admission level, as a share, that admits all requests
UNLIMITED_RETRIES = 3  # the protocol's value for no limit


class MessagePart(NamedTuple):
    """A part of the message for one proxy.

    Attributes:
        proxy: The receiver.
        part: A Bind, Level, Line or Withdrawal.
        cost: Its cost in lines.
    """

    proxy: Any
    part: Any
    cost: int


class OutgoingMessage(NamedTuple):
    """A message for one proxy.

    Attributes:
        proxy: The receiver.
        orders: The Orders.
        nonce: The policy's nonce that the proxy acknowledges with it, or None.
    """

    proxy: Any
    orders: Orders
    nonce: Any


class Outbox:
    """Turns orders into messages.

    Args:
        identifiers: The Identifiers, which number tables and nonces on the wire.
        head: Cost of a message beyond its parts, in lines.
        kinds: Request kind -> its name.

    Attributes:
        tables: The policy's table -> OrderedTable.
        withdrawn: Withdrawn backend -> proxies that were notified, as keys.
        bound: Joined proxy -> the policy's table, or None.
        unlimited_level: Admission level at and above which no request is rejected.
        retry_limit: Most retries, as the protocol encodes them, at a level below that.
        retry_after: How long rejected clients are asked to wait at such a level, ns.
    """

    def __init__(self, identifiers, head, kinds):
        self.identifiers = identifiers
        self.head = head
        self.kind_names = kinds
        self.tables = {}
        self.withdrawn = {}
        self.bound = {}
        self.unlimited_level = UNLIMITED_SHARE
        self.retry_limit = UNLIMITED_RETRIES
        self.retry_after = 0

    def proxy_joined(self, proxy):
        """Records that a proxy joined; it is not bound yet."""
        self.proxy_left(proxy)
        self.bound[proxy] = None

    def proxy_left(self, proxy):
        """Forgets a proxy; no further message is built for it."""
        table = self.bound.pop(proxy, None)
        if table is not None:
            self.tables[table].proxies.pop(proxy, None)
        for notified in self.withdrawn.values():
            notified.pop(proxy, None)

    def build_messages(self, now, orders):
        """Turns the orders of one step into messages.

        Args:
            now: ns.
            orders: The policy's orders.

        Returns:
            OutgoingMessages, in the order in which the orders first affect the proxies.
        """
        parts = {}
        costs = {}
        nonce = None
        for order in orders:
            for proxy, part, cost in self._message_parts(order):
                parts.setdefault(proxy, []).append(part)
                costs[proxy] = costs.get(proxy, 0) + cost
            if isinstance(order, i.RequestAcknowledgement):
                nonce = order.nonce
        nonce_id = self.identifiers.nonce_id(nonce) if nonce and parts else None
        messages = []
        for proxy, proxy_parts in parts.items():
            cost = self.head + costs[proxy] + (nonce_id is not None)
            message = Orders(now, float(cost), proxy_parts, nonce_id)
            messages.append(OutgoingMessage(proxy, message, nonce if nonce_id else None))
        return messages

    def ordered_level(self, proxy, kind):
        """Returns the admission level of a request kind at a joined proxy; None: no limit."""
        table = self.bound.get(proxy)
        ordered = self.tables[table].levels.get(kind) if table is not None else None
        if ordered is None or ordered.level >= self.unlimited_level:
            return None
        return ordered.level

    def ordered_table(self, table):
        """Returns the OrderedTable of the policy's table, an empty one if the table is new."""
        if table not in self.tables:
            self.tables[table] = OrderedTable()
        return self.tables[table]

    def _message_parts(self, order):
        """Returns the MessageParts that an order needs, for all affected proxies."""
        match order:
            case i.SetLine():
                return self._set_line(order)
            case i.Bind():
                return self._bind(order)
            case i.Withdraw():
                return self._withdraw(order) if order.out else self._restore(order)
            case i.SetAdmission():
                return self._set_level(order)
        return []

    def _set_line(self, order):
        table = self.ordered_table(order.table)
        backend = order.backend
        line = Line(self.identifiers.table_id(order.table), backend.external_id, order.weight)
        is_new = table.set_line(backend, order.weight)
        notified = self.withdrawn.get(backend) if is_new else None
        parts = []
        for proxy in table.proxies:
            if notified is not None and proxy not in notified:
                # the backend was withdrawn before it was added to this table, and stays withdrawn
                notified[proxy] = True
                parts.append(MessagePart(proxy, Withdrawal(backend.external_id, True), 1))
            parts.append(MessagePart(proxy, line, 1))
        return parts

    def _bind(self, order):
        proxy = order.proxy
        if proxy not in self.bound:
            return []
        self._unbind(proxy)
        table = self.ordered_table(order.table)
        self.bound[proxy] = order.table
        table.proxies[proxy] = True
        withdrawn = [backend for backend in table.lines if backend in self.withdrawn]
        self._notify_on_bind(proxy, table)
        bind = Bind(
            self.identifiers.table_id(order.table),
            [(backend.external_id, weight) for backend, weight in table.lines.items()],
            [(self.kind_names[kind], *level) for kind, level in table.levels.items()],
            [backend.external_id for backend in withdrawn],
        )
        return [MessagePart(proxy, bind, 1 + len(table.lines) + len(table.levels) + len(withdrawn))]

    def _notify_on_bind(self, proxy, table):
        """Records that a bind notifies the proxy of its table's withdrawals and ends all others."""
        for backend, notified in self.withdrawn.items():
            notified.pop(proxy, None)
            if backend in table.lines:
                notified[proxy] = True

    def _unbind(self, proxy):
        table = self.bound.get(proxy)
        if table is not None:
            self.tables[table].proxies.pop(proxy, None)

    def _withdraw(self, order):
        backend = order.backend
        notified = self.withdrawn.setdefault(backend, {})
        recipients = [
            proxy
            for proxy, table in self.bound.items()
            if proxy not in notified and (table is None or backend in self.tables[table].lines)
        ]
        notified.update(dict.fromkeys(recipients, True))
        withdrawal = Withdrawal(backend.external_id, True)
        return [MessagePart(proxy, withdrawal, 1) for proxy in recipients]

    def _restore(self, order):
        restoration = Withdrawal(order.backend.external_id, False)
        return [MessagePart(proxy, restoration, 1) for proxy in self.withdrawn.pop(order.backend, {})]

    def _set_level(self, order):
        table = self.ordered_table(order.table)
        kinds = order.kinds or list(self.kind_names)
        retry = order.retry
        retry_after = 0
        if order.level < self.unlimited_level:
            # the degradation level's limits are added to a Level that the policy orders anyway; a change of
            # the degradation level alone causes no message
            retry = min(retry, self.retry_limit)
            retry_after = self.retry_after
        table.levels.update({kind: OrderedLevel(order.level, retry) for kind in kinds})
        names = [self.kind_names[kind] for kind in kinds]
        level = Level(self.identifiers.table_id(order.table), names, order.level, retry, retry_after)
        return [MessagePart(proxy, level, 1) for proxy in table.proxies]
