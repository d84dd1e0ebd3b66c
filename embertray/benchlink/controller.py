"""One controller of the simulator: converts the events on the wire for its policy, and the orders back."""

import traceback

from embertray.controller.exceptions import SettingsError
from embertray.controller.identifiers import Identifiers
from embertray.controller.settings import StartSettings, parse_float
from embertray.policy import Controller, interface as i

from . import wire
from .exceptions import WireError


class SimulatedController(Identifiers):
    """A policy, and the identifiers of the objects in its events and orders.

    Methods that read events take the field values of a line by term, and raise WireError.
    """

    def __init__(self, seed, settings, now):
        """Starts at `now`, ns, with the settings of a start line. Raises WireError for a bad setting."""
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
        """Returns the load report in a line, metric -> value; empty without one."""
        if "load" not in values:
            return {}
        try:
            metrics = [parse_float(text) for text in values["load"].split(",")]
        except ValueError:
            raise WireError(f"'{values['load']}' is not a valid load report") from None
        return dict(zip(self.load_metrics, metrics, strict=False))

    def request_kind(self, values):
        """Returns the interface.RequestKind in a line."""
        name = values["request_kind"]
        if name not in self.request_kinds:
            raise WireError(f"request kind '{name}' is not in the settings")
        return self.request_kinds[name]

    # ---- events

    def endpoint(self, values):
        """Reads an entry of the endpoint list."""
        state = values.get("state", wire.STATE_READY)
        if state not in wire.STATES:
            raise WireError(f"{wire.LIST_ENTRY}: {state} is not a valid value for {wire.STATE.key}")
        return i.Endpoint(
            self.backend(values["backend"]),
            self.zone(values.get("zone", "")),
            wire.STATES[state],
            values.get("started", 0),
            values.get("nominal", 1.0),
        )

    def list_update(self, values):
        """Reads an update of the endpoint list, whose entries follow."""
        kind = values["kind"]
        if kind not in wire.LIST_KINDS:
            raise WireError(f"{wire.LIST_UPDATE}: {kind} is not a valid value for {wire.LIST_KIND.key}")
        return i.EndpointListUpdate(wire.LIST_KINDS[kind])

    def timer_fired(self, values):
        """Reads that a timer fired."""
        return i.TimerFired(values["label"])

    def probe_result(self, values):
        """Reads the result of a health check."""
        answered = values["outcome"] == wire.PROBE_ANSWERED
        latency = values.get("latency", 0)
        return i.ProbeResult(self.backend(values["backend"]), answered, latency, self.load_report(values))

    def peer_message(self, values):
        """Reads a message from another controller."""
        data = values.get("data", wire.NO_DATA)
        try:
            return i.PeerMessage(values["sender"], b"" if data == wire.NO_DATA else bytes.fromhex(data))
        except ValueError:
            raise WireError(
                f"{wire.PEER_MESSAGE}: '{data}' is not a valid value for {wire.DATA.key}"
            ) from None

    def proxy_joined(self, values):
        """Reads that a proxy joined."""
        return i.ProxyJoined(
            self.proxy(values["proxy"]),
            self.zone(values["zone"]),
            values.get("rate", 0.0),
            values.get("without_table", False),
        )

    def proxy_left(self, values):
        """Reads that a proxy left."""
        return i.ProxyLeft(self.proxy(values["proxy"]))

    def backend_report(self, values):
        """Reads a load report of the proxies of a zone on a backend."""
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
        """Reads the requests of a kind that reached a proxy."""
        return i.ArrivalReport(
            self.proxy(values["proxy"]),
            self.request_kind(values),
            values["requests"],
            values.get("failures", 0),
            values.get("interval", 0),
        )

    def slice_arrivals(self, values):
        """Reads the requests of a kind that reached a slice."""
        return i.SliceArrivals(
            self.slice_table(values["table"]),
            self.request_kind(values),
            values["requests"],
            values.get("failures", 0),
            values.get("interval", 0),
        )

    def slice_assigned(self, values):
        """Reads that a slice was leased to this controller or taken from it."""
        return i.SliceAssigned(self.slice_table(values["table"]), values["ours"])

    def slice_line(self, values):
        """Reads an existing line of a slice's table."""
        table = self.slice_table(values["table"])
        return i.SliceLine(table, self.backend(values["backend"]), values.get("weight", 1.0))

    def nonce_acknowledged(self, values):
        """Reads that a proxy acknowledged a nonce; None if the nonce is no longer known."""
        nonce = self.nonces.get(values["nonce"])
        return nonce and i.NonceAcknowledged(self.proxy(values["proxy"]), nonce, values.get("apply_time", 0))

    # ---- steps

    def step(self, now, events):
        """Runs one step of the policy at `now`, ns.

        Returns:
            The lines of its orders, or one line with the failure of the policy, and whether it failed.
        """
        try:
            orders = self.policy.step(now, events)
        except Exception as error:  # the simulator expects a failure line, not a crash
            place = traceback.extract_tb(error.__traceback__)[-1]
            text = f"{type(error).__name__}: {error} ({place.name}, line {place.lineno})"
            return [wire.failure(text)], True
        return [ORDER_WRITERS[type(order)](self, order) for order in orders], False

    # ---- orders

    def write_line(self, order):
        """Returns the line of an interface.SetLine."""
        return wire.set_line(self.table_id(order.table), order.backend.external_id, order.weight)

    def write_bind(self, order):
        """Returns the line of an interface.Bind."""
        return wire.bind(order.proxy.external_id, self.table_id(order.table))

    def write_admission(self, order):
        """Returns the line of an interface.SetAdmission."""
        kinds = sum(1 << kind.external_id for kind in order.kinds)
        return wire.set_admission(self.table_id(order.table), kinds, order.level, order.retry)

    def write_acknowledgement_request(self, order):
        """Returns the line of an interface.RequestAcknowledgement."""
        return wire.request_acknowledgement(self.nonce_id(order.nonce))


# event name -> method that reads it
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

# order type -> function of the controller and the order that returns its line
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
