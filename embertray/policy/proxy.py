"""One proxy as a controller knows it: whether it joined, its table, open nonces and the requests it gets."""

from .backend import LONG_WINDOW, SHORT_WINDOW
from .context import REPORTS_KEPT
from .records.arrivals import ArrivalSamples
from .records.messages import ProxyMessages
from .units import SECOND

RATES_INTERVAL = 1 * SECOND  # ns between two looks at its rates: proxies are many


class ProxyState:
    """State of one proxy; rates are requests a second.

    Args:
        context: `Context` of the controller.
        handle: `interface.Proxy` that stands for it outside.
    """

    def __init__(self, context, handle):
        self.context = context
        self.handle = handle
        self.zone = None
        self.joined = False
        self.joined_at = context.now
        self.gone_at = context.now
        self.table = None
        self.usual_rate = 0.0
        self.has_standing_table_only = False
        self.rates = {}
        self.long_rate = 0.0
        self.messages = ProxyMessages()
        self.samples = ArrivalSamples(REPORTS_KEPT)
        self._rates_updated_at = None

    def join(self, event):
        """Its stream stands: whatever it held before, it is bound anew.

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
        """Its stream broke: it is bound to nothing."""
        self.joined = False
        self.gone_at = self.context.now
        self.table = None

    def acknowledge(self, nonce):
        """It applied the message that carried `nonce`, and all before it."""
        self.messages.record_acknowledgement(nonce, self.context.now)

    def add_arrivals(self, report):
        """Keeps `interface.ArrivalReport`, the requests of one kind that reached it."""
        self.samples.add(self.context.now, report)

    def update_rates(self):
        """Estimates what comes to it: by request kind lately, and in all for longer."""
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
