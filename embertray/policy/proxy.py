"""State of one proxy: whether it joined, its table, unacknowledged messages and request rates."""

from .backend import LONG_WINDOW, SHORT_WINDOW
from .context import REPORTS_KEPT
from .records.arrivals import ArrivalSamples
from .records.messages import ProxyMessages
from .units import SECOND

RATES_INTERVAL = 1 * SECOND  # ns between two updates of the rates: limits the cost with many proxies


class ProxyState:
    """State of one proxy; rates are requests a second.

    Args:
        context: `Context` of the controller.
        handle: `interface.Proxy` by which events and orders refer to it.
    """

    def __init__(self, context, handle):
        self.context = context
        self.handle = handle
        self.zone = None
        self.joined = False
        self.joined_at = context.now
        self.gone_at = context.now  # counts as departed until it joins
        self.table = None
        self.usual_rate = 0.0
        self.has_standing_table_only = False
        self.rates = {}
        self.long_rate = 0.0
        self.messages = ProxyMessages()
        self.samples = ArrivalSamples(REPORTS_KEPT)
        self._rates_updated_at = None

    def join(self, event):
        """Marks the proxy as joined and unbound, whatever table it held before.

        Args:
            event: `interface.ProxyJoined`.
        """
        self.zone = event.zone
        self.usual_rate = event.rate
        self.has_standing_table_only = event.fresh
        self.joined = True
        self.joined_at = self.context.now
        self.gone_at = None
        self.table = None
        self.messages = ProxyMessages()

    def leave(self):
        """Marks the proxy as departed and unbound, after its stream broke."""
        self.joined = False
        self.gone_at = self.context.now
        self.table = None

    def acknowledge(self, nonce):
        """Records that the proxy applied the message with `nonce`, and all before it."""
        self.messages.record_acknowledgement(nonce, self.context.now)

    def add_arrivals(self, report):
        """Stores an `interface.ArrivalReport` with the requests of one kind."""
        self.samples.add(self.context.now, report)

    def update_rates(self):
        """Updates the request rates: per kind over the short window, in total over the long window."""
        now = self.context.now
        if self._rates_updated_at is None or now >= self._rates_updated_at + RATES_INTERVAL:
            self._rates_updated_at = now
            self.rates = self._rates_over(SHORT_WINDOW)
            self.long_rate = sum(self._rates_over(LONG_WINDOW).values())

    def _rates_over(self, window):
        kinds = self.context.deployment.kinds
        start = self.context.now - window
        usual = self.usual_rate / (len(kinds) or 1)
        return {kind: self.samples.rate(kind, start, usual) for kind in kinds}
