"""The policy's entry point: takes events and returns orders. `interface` defines the types of both."""

from . import interface
from .context import Context
from .endpoint_watch import EndpointWatch
from .load_shedding import LoadShedding
from .proxy import ProxyState
from .publisher import Publisher
from .units import MILLISECOND, SECOND
from .weight_planner import WeightPlanner

CYCLE_INTERVAL = 250 * MILLISECOND  # ns; shorter than a report interval
CYCLE_TIMER = 0  # label
PUBLISH_TIMER = 1  # label
PRUNE_INTERVAL = 10 * SECOND  # ns between two searches for departed backends and proxies
PRUNE_AFTER = 60 * SECOND  # ns after departure; longer than any window, retry or grace


class Controller:
    """Makes the routing decisions of one controller instance; deterministic for the same events.

    All rules run once per control cycle. A step between two cycles only applies events and sends removals and
    bindings, which do not depend on new weights.

    Args:
        seed: seed of the controller's pseudo-random numbers.
        deployment: `interface.Deployment` that the controller is started with.
        now: start time, ns.
    """

    def __init__(self, seed, deployment, now=0):
        self.context = Context(seed, deployment, now)
        self.endpoint_watch = EndpointWatch(self.context)
        self.weight_planner = WeightPlanner(self.context)
        self.load_shedding = LoadShedding(self.context)
        self.publisher = Publisher(self.context, self.endpoint_watch)
        self._next_cycle_at = 0
        self._publish_timer_at = None  # ns; None: no timer was ordered since the last control cycle
        self._next_prune_at = now + PRUNE_INTERVAL

    @property
    def backends(self):
        """`BackendState`s of all backends that have not been pruned."""
        return self.context.backends

    @property
    def proxies(self):
        """`ProxyState`s of all proxies that have not been pruned."""
        return self.context.proxies

    def step(self, now, events):
        """Applies events and returns the resulting orders.

        Args:
            now: ns; never earlier than in the previous step.
            events: event objects of `interface`, in the order in which they happened.

        Returns:
            list of order objects of `interface`, to be carried out in this order.
        """
        context = self.context
        context.now = now
        context.orders = []
        self._apply_events(events)
        context.update_observed_report_interval()
        publish_at = self.publisher.next_publish_at()
        if now >= self._next_cycle_at:
            self._run_cycle()
        elif publish_at is not None and now >= publish_at:
            self.publisher.publish()
        self._set_publish_timer()
        return context.orders

    def _set_publish_timer(self):
        """Orders a timer for changes that are to be sent before the next control cycle or the last timer."""
        publish_at = self.publisher.next_publish_at()
        if publish_at is None or publish_at >= (self._publish_timer_at or self._next_cycle_at):
            return
        self._publish_timer_at = publish_at
        after = max(1, publish_at - self.context.now)
        self.context.orders.append(interface.SetTimer(PUBLISH_TIMER, after))

    def _apply_events(self, events):
        """Applies events, endpoint lists last: the reports of a step refer to the previous list."""
        updates = []
        for event in events:
            if isinstance(event, interface.BackendReport):
                if event.backend.policy_state:
                    event.backend.policy_state.add_report(event)
            elif isinstance(event, interface.ArrivalReport):
                self._proxy_state(event.proxy).add_arrivals(event)
            elif isinstance(event, interface.NonceAcknowledged):
                self._apply_acknowledgement(event)
            elif isinstance(event, interface.ProxyJoined):
                proxy = self._proxy_state(event.proxy)
                proxy.join(event)
                self.publisher.proxy_joined(proxy)
            elif isinstance(event, interface.ProxyLeft):
                self._proxy_state(event.proxy).leave()
            elif isinstance(event, interface.EndpointListUpdate):
                updates.append(event)
        for backend in self.endpoint_watch.update(updates):
            self.publisher.backend_left(backend)

    def _apply_acknowledgement(self, event):
        proxy = self._proxy_state(event.proxy)
        proxy.acknowledge(event.nonce)
        self.publisher.budget.record_acknowledgement(proxy, event.nonce, event.took)

    def _proxy_state(self, handle):
        if handle.policy_state is None:
            handle.policy_state = ProxyState(self.context, handle)
            self.context.proxies.append(handle.policy_state)
        return handle.policy_state

    def _run_cycle(self):
        self._next_cycle_at = self.context.now + CYCLE_INTERVAL
        self._publish_timer_at = None
        self.context.orders.append(interface.SetTimer(CYCLE_TIMER, CYCLE_INTERVAL))
        self._prune()
        self.endpoint_watch.subscribe_if_due()
        state, desired = self.weight_planner.plan()
        self.load_shedding.update(state)
        for zone, lines in desired:
            self.publisher.set_desired(zone, lines)
        self.publisher.publish(self.context.admission)

    def _prune(self):
        """Drops the state of backends and proxies that departed long ago, and compacts the tables.

        Otherwise memory use and the cost of a control cycle would grow without bound under hours of churn.
        """
        context = self.context
        if context.now < self._next_prune_at:
            return
        self._next_prune_at = context.now + PRUNE_INTERVAL
        for table in self.publisher.tables.all:
            table.compact()
        for known in (context.backends, context.proxies):
            gone = [
                state
                for state in known
                if state.gone_at is not None and context.now - state.gone_at > PRUNE_AFTER
            ]
            for state in gone:
                if self.publisher.release(state):
                    state.handle.policy_state = None
                    known.remove(state)
