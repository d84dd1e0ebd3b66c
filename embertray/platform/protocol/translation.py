"""Translates between the decision module and the platform, and maps identifiers between both.

Reports and proxy events become events of the module; its orders become the texts of the relay's calls.
"""

from collections.abc import Callable
from typing import NamedTuple

from embertray.policy import interface as i

from .event_stream import ProxyJoined, ProxyLeft
from .inbound import BackendReport
from .wire import (
    ACKNOWLEDGEMENT_REQUEST,
    ALL_KINDS,
    BIND,
    EJECT,
    KIND_SEPARATOR,
    READMIT,
    SET_LEVEL,
    SET_LINE,
)


def format_number(value):
    """Format a number without exponent, with at most six decimal places and no trailing zeros."""
    return f"{value:.6f}".rstrip("0").rstrip(".")


class StepOrders(NamedTuple):
    """A step's orders for OrderCaller.enqueue, and the messages that the module wants logged."""

    texts: list
    nonce: int | None
    # formats the order that requests acknowledgements; takes ACKNOWLEDGED_BY_BOUND or ACKNOWLEDGED_BY_ALL
    build_acknowledgement_request: Callable | None
    log_texts: list


class Translator:
    """Translates events and orders of one controller."""

    def __init__(self, identifiers, request_kinds):
        """`identifiers`: the Identifiers of a Runner; `request_kinds`: name -> interface.RequestKind."""
        self.identifiers = identifiers
        self.request_kinds = request_kinds
        self.kind_names = {kind: name for name, kind in request_kinds.items()}

    def report(self, report):
        """Convert a BackendReport or TrafficReport to a policy event; None if its subject is unknown."""
        if type(report) is BackendReport:
            backend = self.identifiers.backends.get(report.backend)
            return backend and i.BackendReport(
                backend,
                self.identifiers.zone(report.zone),
                report.attempts,
                report.failures,
                report.latency,
                report.interval,
                report.load,
            )
        proxy = self.identifiers.proxies.get(report.proxy)
        return proxy and i.ArrivalReport(
            proxy,
            self.request_kinds[report.request_kind],
            report.requests,
            report.failures,
            report.interval,
        )

    def proxy_event(self, event):
        """Convert a proxy event to a policy event; None if its nonce is no longer in use."""
        proxy = self.identifiers.proxy(event.proxy)
        if isinstance(event, ProxyJoined):
            return i.ProxyJoined(proxy, self.identifiers.zone(event.zone), event.rate, event.without_table)
        if isinstance(event, ProxyLeft):
            return i.ProxyLeft(proxy)
        nonce = self.identifiers.nonces.get(event.nonce)
        return nonce and i.NonceAcknowledged(proxy, nonce, event.apply_time)

    def step_orders(self, orders):
        """Convert a step's orders to StepOrders. New tables and nonces are assigned their numbers."""
        texts = []
        nonce = None
        build_acknowledgement_request = None
        log_texts = []
        table_id = self.identifiers.table_id
        for order in orders:
            if isinstance(order, i.SetLine):
                table = table_id(order.table)
                texts.append(f"{SET_LINE},{table},{order.backend.external_id},{format_number(order.weight)}")
            elif isinstance(order, i.Bind):
                texts.append(f"{BIND},{order.proxy.external_id},{table_id(order.table)},{ALL_KINDS}")
            elif isinstance(order, i.Withdraw):
                texts.append(f"{EJECT if order.out else READMIT},{order.backend.external_id}")
            elif isinstance(order, i.SetAdmission):
                texts.append(self.admission_text(order))
            elif isinstance(order, i.RequestAcknowledgement):
                nonce = self.identifiers.nonce_id(order.nonce)
                build_acknowledgement_request = f"{ACKNOWLEDGEMENT_REQUEST},{nonce},{{}}".format
            elif isinstance(order, i.Log):
                log_texts.append(order.text)
        return StepOrders(texts, nonce, build_acknowledgement_request, log_texts)

    def admission_text(self, order):
        """Format an interface.SetAdmission."""
        kinds = KIND_SEPARATOR.join(self.kind_names[kind] for kind in order.kinds) or ALL_KINDS
        table = self.identifiers.table_id(order.table)
        return f"{SET_LEVEL},{table},{kinds},{format_number(order.level)},{order.retry}"
