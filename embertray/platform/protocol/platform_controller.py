"""One controller on the platform, without I/O: connects the decision module to the platform's protocol.

The transports pass in received data and the time, send the calls of `order_caller`, and call `advance` after
each input and at `next_step_at`.
"""

from embertray.controller.runner import Runner
from embertray.controller.settings import StartSettings
from embertray.policy import Controller, interface as i

from .admission import ConnectionAdmission
from .configuration import unsupported_permissions
from .endpoint_list import EndpointListWatch
from .event_stream import EventStreamParser, NonceAcknowledged
from .inbound import InboundConnection
from .limits import CLEANUP_PERIOD_NS, PENDING_EVENTS_MAX
from .order_caller import OrderCaller
from .proxy_registry import ProxyRegistry
from .translation import Translator


class PlatformController(Runner):
    """Runs the decision module on the platform's protocol.

    Attributes:
        settings: The StartSettings.
        order_caller: The OrderCaller, with the queued calls and the one in flight.
        proxies: The ProxyRegistry.
        list_watch: The EndpointListWatch.
        admission: The ConnectionAdmission of the controller's listening address.
        log_texts: Messages of the module to be logged; the caller that logs them clears the list.
        unknown_reports: Number of reports on backends or proxies that no list or event has named.
        dropped_reports: Number of reports dropped because too many events were pending.
    """

    def __init__(self, configuration, now, wall_clock):
        """Start from a wire.ControllerConfiguration and the endpoint list in it.

        Args:
            configuration: The wire.ControllerConfiguration.
            now: Monotonic time, ns.
            wall_clock: Unix time at `now`, ns.

        Raises:
            SettingsError: a setting is invalid, or requires something that the protocol does not support.
        """
        self.settings = StartSettings.from_nested(configuration.settings)
        self.log_texts = unsupported_permissions(self.settings)
        self.seed = configuration.numeric_seed
        super().__init__(self.seed, self.settings.deployment, now)
        self.translator = Translator(self.identifiers, self.settings.request_kinds)
        self.order_caller = OrderCaller(self.policy.context.deployment.channel_delay_max)
        self.proxies = ProxyRegistry()
        known = configuration.known_list()
        self.list_watch = EndpointListWatch(known.revision)
        self.cleanup_at = now + CLEANUP_PERIOD_NS
        self.unknown_reports = 0
        self.dropped_reports = 0
        self.admission = ConnectionAdmission(configuration.limits.descriptors)
        self.receive_list_update(now, "cached", wall_clock, known.endpoints)

    def inbound_connection(self, now):
        """Create the InboundConnection of a peer that connected at `now`, ns."""
        return InboundConnection(now, self.settings.zones, self.settings.request_kinds, self.settings.proxies)

    def event_stream(self):
        """Create the EventStreamParser of a new connection to the relay's event stream."""
        return EventStreamParser(self.settings.zones, self.settings.proxies)

    def add_reports(self, reports):
        """Queue reports of collectors for the next step."""
        for report in reports:
            if (event := self.translator.report(report)) is None:
                self.unknown_reports += 1
            else:
                self.pending_events.append(event)
        if len(self.pending_events) > PENDING_EVENTS_MAX:
            self.drop_reports()

    def drop_reports(self):
        """Drop all pending reports.

        While the relay accepts no call, no step runs, and an outage of hours would fill the memory with
        reports. Removals, joins and leaves are kept; old reports have no value.
        """
        kept = [
            event
            for event in self.pending_events
            if not isinstance(event, (i.BackendReport, i.ArrivalReport))
        ]
        self.dropped_reports += len(self.pending_events) - len(kept)
        self.pending_events = kept

    def add_proxy_events(self, events):
        """Queue events of the ProxyRegistry for the next step.

        Returns:
            Whether one of them acknowledged an unanswered call, so that the next call can be sent at once.
        """
        answered = False
        for event in events:
            if isinstance(event, NonceAcknowledged):
                answered = self.order_caller.acknowledge(event.nonce) or answered
            if (translated := self.translator.proxy_event(event)) is not None:
                self.pending_events.append(translated)
        return answered

    def advance(self, now):
        """Run one step at `now`, ns, unless a call is pending: its result is awaited first.

        Returns:
            Whether there is a call to send.
        """
        if now >= self.cleanup_at:
            self.cleanup_at = now + CLEANUP_PERIOD_NS
            self.clean_up()
        if self.order_caller.idle and (orders := self.run_step(now)):
            step = self.translator.step_orders(orders)
            self.order_caller.enqueue(step.texts, step.nonce, step.build_acknowledgement_request)
            self.log_texts += step.log_texts
        return not self.order_caller.idle

    def restart_module(self, now):
        """Replace a module that failed within a step by a new one that is given the current state.

        A failure in the middle of a step leaves the module inconsistent: only some of its parts have handled
        the step's events. The tables of the new module get new numbers, so that no bound proxy keeps a line
        of the old ones.
        """
        listed = [
            i.Endpoint(backend.handle, backend.zone, backend.state, backend.started)
            for backend in self.policy.backends
            if backend.state not in (None, "gone")
        ]
        for known in (self.identifiers.backends, self.identifiers.proxies):
            for handle in known.values():
                handle.policy_state = None
        self.seed += 1
        self.policy = Controller(self.seed, self.settings.deployment(self.identifiers), now)
        self.timers = []
        self.identifiers.nonces = {}
        joined = map(self.translator.proxy_event, self.proxies.joined.values())
        self.pending_events = [i.EndpointListUpdate("cached", listed), *joined]

    def clean_up(self):
        """Forget backends and proxies that left long ago, and nonces with no acknowledgement outstanding."""
        self.forget(lambda handle: handle.external_id in self.proxies.joined)
        open_nonces = {nonce for proxy in self.policy.proxies for nonce, _ in proxy.messages.unacknowledged}
        open_nonces.update(self.policy.publisher.budget.in_flight.by_nonce)
        self.identifiers.nonces = {
            number: nonce for number, nonce in self.identifiers.nonces.items() if nonce in open_nonces
        }

    def next_step_at(self):
        """The time of the next `advance` if no input arrives before, ns; None while a call is pending."""
        return self.next_timer_at() if self.order_caller.idle else None
