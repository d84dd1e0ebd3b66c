"""One controller of the bench: its decision module, the wire's events read for it and its orders written."""

import traceback

from embertray.controller.exceptions import SettingsError
from embertray.controller.identifiers import Identifiers
from embertray.controller.settings import StartSettings, parse_float
from embertray.policy import Controller, interface as i

from . import wire
from .exceptions import WireError


class SimulatedController(Identifiers):
    """The module, and the identifiers of the objects that it deals in.

    Methods that read events take the values of a line's fields, by their terms, and raise WireError.
    """

    def __init__(self, seed, settings, now):
        """Start at `now`, ns, by the pairs of a start line. Raises WireError: a setting can't be read."""
        super().__init__()
        try:
            settings = StartSettings(settings)
            self.load_metrics = settings.load_metrics
            self.request_kinds = settings.request_kinds
            self.policy = Controller(seed, settings.deployment(self), now)
        except SettingsError as error:
            raise WireError(f"{wire.START}: {error}") from None

    # ---- parts of events

    def load_report(self, values):
        """The load report in a line, metric -> value; empty if it has none."""
        if "load" not in values:
            return {}
        try:
            figures = [parse_float(text) for text in values["load"].split(",")]
        except ValueError:
            raise WireError(f"'{values['load']}' is no good load report") from None
        return dict(zip(self.load_metrics, figures, strict=False))

    def request_kind(self, values):
        """The interface.RequestKind in a line."""
        name = values["request_kind"]
        if name not in self.request_kinds:
            raise WireError(f"request kind '{name}' is not in the settings")
        return self.request_kinds[name]

    # ---- events

    def endpoint(self, values):
        """One entry of the list."""
        state = values.get("state", wire.STATE_READY)
        if state not in wire.STATES:
            raise WireError(f"{wire.LIST_ENTRY}: {state} is no good value for {wire.STATE.key}")
        return i.Endpoint(
            self.backend(values["backend"]),
            self.zone(values.get("zone", "")),
            wire.STATES[state],
            values.get("started", 0),
            values.get("nominal", 1.0),
        )

    def list_update(self, values):
        """The list's news, whose entries follow."""
        kind = values["kind"]
        if kind not in wire.LIST_KINDS:
            raise WireError(f"{wire.LIST_UPDATE}: {kind} is no good value for {wire.LIST_KIND.key}")
        return i.EndpointListUpdate(wire.LIST_KINDS[kind])

    def timer_fired(self, values):
        """A timer is due."""
        return i.TimerFired(values["label"])

    def probe_result(self, values):
        """A health check was answered or not."""
        answered = values["outcome"] == wire.PROBE_ANSWERED
        latency = values.get("latency", 0)
        return i.ProbeResult(self.backend(values["backend"]), answered, latency, self.load_report(values))

    def peer_message(self, values):
        """A note of another controller."""
        data = values.get("data", wire.NO_DATA)
        try:
            return i.PeerMessage(values["sender"], b"" if data == wire.NO_DATA else bytes.fromhex(data))
        except ValueError:
            raise WireError(f"{wire.PEER_MESSAGE}: '{data}' is no good value for {wire.DATA.key}") from None

    def proxy_joined(self, values):
        """A proxy has joined."""
        return i.ProxyJoined(
            self.proxy(values["proxy"]),
            self.zone(values["zone"]),
            values.get("rate", 0.0),
            values.get("without_table", False),
        )

    def proxy_left(self, values):
        """A proxy has left."""
        return i.ProxyLeft(self.proxy(values["proxy"]))

    def backend_report(self, values):
        """What the proxies of a zone saw of a backend."""
        return i.BackendReport(
            self.backend(values["backend"]),
            self.zone(values.get("zone", "")),
            values["attempts"],
            values.get("failures", 0),
            values.get("latency", 0),
            values.get("interval", 0),
            self.load_report(values),
        )

    def arrival_report(self, values):
        """The requests of a kind that reached a proxy."""
        return i.ArrivalReport(
            self.proxy(values["proxy"]),
            self.request_kind(values),
            values["requests"],
            values.get("failures", 0),
            values.get("interval", 0),
        )

    def slice_arrivals(self, values):
        """The requests of a kind that reached a slice."""
        return i.SliceArrivals(
            self.slice_table(values["table"]),
            self.request_kind(values),
            values["requests"],
            values.get("failures", 0),
            values.get("interval", 0),
        )

    def slice_assigned(self, values):
        """A slice was leased to this controller or taken from it."""
        return i.SliceAssigned(self.slice_table(values["table"]), values["ours"])

    def slice_line(self, values):
        """A line that a slice's table has already."""
        table = self.slice_table(values["table"])
        return i.SliceLine(table, self.backend(values["backend"]), values.get("weight", 1.0))

    def nonce_acknowledged(self, values):
        """A proxy answered a nonce; None if it is not open any more."""
        nonce = self.nonces.get(values["nonce"])
        return nonce and i.NonceAcknowledged(self.proxy(values["proxy"]), nonce, values.get("apply_time", 0))

    # ---- steps

    def step(self, now, events):
        """Run one step of the module at `now`, ns.

        Returns:
            The lines of its orders, or one that says how the module failed, and whether it failed.
        """
        try:
            orders = self.policy.step(now, events)
        except Exception as error:  # the wire wants the module's failure declared, not a crash
            place = traceback.extract_tb(error.__traceback__)[-1]
            text = f"{type(error).__name__}: {error} ({place.name}, line {place.lineno})"
            return [wire.failure(text)], True
        return [ORDER_WRITERS[type(order)](self, order) for order in orders], False

    # ---- orders

    def write_line(self, order):
        """The line of an interface.SetLine."""
        return wire.set_line(self.table_id(order.table), order.backend.external_id, order.weight)

    def write_bind(self, order):
        """The line of an interface.Bind."""
        return wire.bind(order.proxy.external_id, self.table_id(order.table))

    def write_admission(self, order):
        """The line of an interface.SetAdmission."""
        kinds = sum(1 << kind.external_id for kind in order.kinds)
        return wire.set_admission(self.table_id(order.table), kinds, order.level, order.retry)

    def write_acknowledgement_request(self, order):
        """The line of an interface.RequestAcknowledgement."""
        return wire.request_acknowledgement(self.nonce_id(order.nonce))


# event's name -> the method that reads it
EVENT_READERS = {
    wire.LIST_UPDATE: SimulatedController.list_update,
    wire.TIMER_FIRED: SimulatedController.timer_fired,
    wire.PROBE_RESULT: SimulatedController.probe_result,
    wire.PEER_MESSAGE: SimulatedController.peer_message,
    wire.PROXY_JOINED: SimulatedController.proxy_joined,
    wire.PROXY_LEFT: SimulatedController.proxy_left,
    wire.BACKEND_REPORT: SimulatedController.backend_report,
    wire.ARRIVAL_REPORT: SimulatedController.arrival_report,
    wire.SLICE_ARRIVALS: SimulatedController.slice_arrivals,
    wire.SLICE_ASSIGNED: SimulatedController.slice_assigned,
    wire.SLICE_LINE: SimulatedController.slice_line,
    wire.NONCE_ACKNOWLEDGED: SimulatedController.nonce_acknowledged,
}

# order's type -> what writes its line, called with the controller and the order
ORDER_WRITERS = {
    i.SetLine: SimulatedController.write_line,
    i.Bind: SimulatedController.write_bind,
    i.Withdraw: lambda _, order: wire.withdraw(order.backend.external_id, order.out),
    i.SetAdmission: SimulatedController.write_admission,
    i.RequestAcknowledgement: SimulatedController.write_acknowledgement_request,
    i.SetTimer: lambda _, order: wire.set_timer(order.label, order.after),
    i.Subscribe: lambda _, order: wire.subscribe(order.on),
    i.PollEndpointList: lambda _, _order: wire.poll_endpoint_list(),
    i.Probe: lambda _, order: wire.probe(order.backend.external_id),
    i.Log: lambda _, order: wire.log(order.text),
}
