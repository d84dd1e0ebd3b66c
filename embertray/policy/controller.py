"""One controller's decisions: events in, orders out. `interface` has the types of both."""

from . import interface
from .context import Context
from .endpoint_watch import EndpointWatch
from .load_shedding import LoadShedding
from .proxy import ProxyState
from .publisher import Publisher
from .units import MILLISECOND, SECOND
from .weight_planner import WeightPlanner

CYCLE_INTERVAL = 250 * MILLISECOND  # ns; under a report interval
PRUNE_INTERVAL = 10 * SECOND  # ns between two looks for those that are gone for long
PRUNE_AFTER = 60 * SECOND  # ns; past any window, retry and grace


class Controller:
    """Decides for one controller instance. The same events give the same orders.

    At every beat all rules run. Between two beats a step only takes events in, and sends removals and
    bindings, which wait for no weights.

    Args:
        seed: makes the controller's random draws its own.
        deployment: `interface.Deployment`, what it is told at its start.
        now: time of the start, ns.
    """

    def __init__(self, seed, deployment, now=0):
        self.context = Context(seed, deployment, now)
        self.endpoint_watch = EndpointWatch(self.context)
        self.weight_planner = WeightPlanner(self.context)
        self.load_shedding = LoadShedding(self.context)
        self.publisher = Publisher(self.context, self.endpoint_watch)
        self._next_cycle_at = 0
        self._next_prune_at = now + PRUNE_INTERVAL

    @property
    def backends(self):
        """The `BackendState`s of all backends that are not forgotten."""
        return self.context.backends

    @property
    def proxies(self):
        """The `ProxyState`s of all proxies that are not forgotten."""
        return self.context.proxies

    def step(self, now, events):
        """Takes events and decides.

        Args:
            now: ns; never less than at the step before.
            events: event objects of `interface`, in the order in which they happened.

        Returns:
            list of order objects of `interface`, in the order in which they are to be carried out.
        """
        context = self.context
        context.now = now
        context.orders = []
        self._apply_events(events)
        context.update_observed_report_interval()
        if now >= self._next_cycle_at:
            self._run_cycle()
        elif self.publisher.has_urgent_changes:
            self.publisher.publish()
        return context.orders

    def _apply_events(self, events):
        """Takes over the events, endpoint lists last: what a step's reports tell is of the list before."""
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
        self.context.orders.append(interface.SetTimer(0, CYCLE_INTERVAL))
        self._prune()
        self.endpoint_watch.subscribe_if_due()
        state, desired = self.weight_planner.plan()
        self.load_shedding.update(state)
        for zone, lines in desired:
            self.publisher.set_desired(zone, lines)
        self.publisher.publish(self.context.admission)

    def _prune(self):
        """Forgets backends and proxies that are gone for long.

        Guards against growth with all that ever was: by churn over hours memory and the cost of a beat would
        rise without end.
        """
        context = self.context
        if context.now < self._next_prune_at:
            return
        self._next_prune_at = context.now + PRUNE_INTERVAL
        for table in self.publisher.tables.all:
            table.compact()
        for known in (context.backends, context.proxies):
            gone = [
                one for one in known if one.gone_at is not None and context.now - one.gone_at > PRUNE_AFTER
            ]
            for departed in gone:
                if self.publisher.release(departed):
                    departed.handle.policy_state = None
                    known.remove(departed)
