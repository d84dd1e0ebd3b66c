"""One controller on the platform without I/O: the decision module between list, reports, events and calls.

The transports hand in what came and the time, send the calls of `order_caller`, and call `advance` at once or
at `next_step_at`.
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
    """The decision module with all that the platform's protocol needs around it.

    Attributes:
        settings: The StartSettings.
        order_caller: Calls that wait or are in flight.
        proxies: The ProxyRegistry.
        list_watch: The EndpointListWatch.
        admission: The ConnectionAdmission of the controller's address.
        log_texts: What the module wants logged; whoever logs it empties it.
        unknown_reports: Reports on backends or proxies that were never named.
        dropped_reports: Reports that waited too long.
    """

    def __init__(self, configuration, now, wall_clock):
        """Start by a wire.ControllerConfiguration and the list in it.

        Args:
            configuration: The wire.ControllerConfiguration.
            now: ns.
            wall_clock: Unix time at `now`, ns.

        Raises:
            SettingsError: a setting can't be read, or needs what the protocol can't carry.
        """
        self.settings = StartSettings.from_nested(configuration.settings)
        self.log_texts = unsupported_permissions(self.settings)
        self.seed = configuration.numeric_seed
        super().__init__(self.seed, self.settings.deployment, now)
        self.translator = Translator(self.identifiers, self.settings.request_kinds)
        self.order_caller = OrderCaller(self.module.context.deployment.channel_delay_max)
        self.proxies = ProxyRegistry()
        known = configuration.known_list()
        self.list_watch = EndpointListWatch(known.revision)
        self.cleanup_at = now + CLEANUP_PERIOD_NS
        self.unknown_reports = 0
        self.dropped_reports = 0
        self.admission = ConnectionAdmission(configuration.limits.descriptors)
        self.receive_list_update(now, "cached", wall_clock, known.endpoints)

    def inbound_connection(self, now):
        """The InboundConnection of a peer that connected at `now`, ns."""
        return InboundConnection(now, self.settings.zones, self.settings.request_kinds, self.settings.proxies)

    def event_stream(self):
        """The EventStreamParser of a new connection with the relay's events."""
        return EventStreamParser(self.settings.zones, self.settings.proxies)

    def add_reports(self, reports):
        """Reports of collectors wait for the next step."""
        for report in reports:
            if (event := self.translator.report(report)) is None:
                self.unknown_reports += 1
            else:
                self.pending_events.append(event)
        if len(self.pending_events) > PENDING_EVENTS_MAX:
            self.drop_reports()

    def drop_reports(self):
        """Drop all reports that wait.

        Against a relay that takes no call for hours: no step runs meanwhile, and reports alone would fill the
        memory. Removals, joins and leaves stay; old reports tell nothing any more.
        """
        kept = [
            event
            for event in self.pending_events
            if not isinstance(event, (i.BackendReport, i.ArrivalReport))
        ]
        self.dropped_reports += len(self.pending_events) - len(kept)
        self.pending_events = kept

    def add_proxy_events(self, events):
        """Events of the ProxyRegistry wait for the next step.

        Returns:
            Whether one of them answered an unanswered call, so that the next call goes out at once.
        """
        answered = False
        for event in events:
            if isinstance(event, NonceAcknowledged):
                answered = self.order_caller.acknowledge(event.nonce) or answered
            if (translated := self.translator.proxy_event(event)) is not None:
                self.pending_events.append(translated)
        return answered

    def advance(self, now):
        """Run one step at `now`, ns, unless a call is under way: what its answer tells comes first.

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
        """Replace a module that failed within a step by a new one that is notified of what stands.

        Against a fault that left the module's parts at odds: some have acted on the step's events, some not.
        The new one's tables get new numbers, so that no line of the former ones is left to any bound proxy.
        """
        listed = [
            i.Endpoint(backend.handle, backend.zone, backend.state, backend.started)
            for backend in self.module.backends
            if backend.state not in (None, "gone")
        ]
        for known in (self.identifiers.backends, self.identifiers.proxies):
            for handle in known.values():
                handle.policy_state = None
        self.seed += 1
        self.module = Controller(self.seed, self.settings.deployment(self.identifiers), now)
        self.timers = []
        self.identifiers.nonces = {}
        joined = map(self.translator.proxy_event, self.proxies.joined.values())
        self.pending_events = [i.EndpointListUpdate("cached", listed), *joined]

    def clean_up(self):
        """Forget who is long gone, and nonces that nobody owes an answer to."""
        self.forget(lambda handle: handle.external_id in self.proxies.joined)
        open_nonces = {nonce for proxy in self.module.proxies for nonce, _ in proxy.messages.unacknowledged}
        open_nonces.update(self.module.publisher.budget.in_flight.by_nonce)
        self.identifiers.nonces = {
            number: nonce for number, nonce in self.identifiers.nonces.items() if nonce in open_nonces
        }

    def next_step_at(self):
        """When to advance again if nothing happens before, ns; None while a call is under way."""
        return self.next_timer_at() if self.order_caller.idle else None
