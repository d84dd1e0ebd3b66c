"""The module's events and orders in the platform's words, by their external ids."""

from embertray.policy import interface as i

from .news import Attach, Detach


def figure(value):
    """A number without exponent: six places, no trailing zeros."""
    return f"{value:.6f}".rstrip("0").rstrip(".")


class Words:
    """`identifiers` of a Runner, `kinds` of its StartSettings."""

    def __init__(self, identifiers, kinds):
        self.identifiers, self.kinds = identifiers, kinds
        self.names = {kind: name for name, kind in kinds.items()}

    def report(self, got):
        """A Met or Came as an event; None if it names a backend or proxy that was never told."""
        if hasattr(got, "backend"):
            backend = self.identifiers.backends.get(got.backend)
            return backend and i.Heard(
                backend,
                self.identifiers.zone(got.zone),
                got.tries,
                got.failed,
                got.latency,
                got.span,
                got.load,
            )
        proxy = self.identifiers.proxies.get(got.proxy)
        return proxy and i.Arrivals(proxy, self.kinds[got.kind], got.requests, got.lost, got.span)

    def news(self, got):
        """An Attach, Detach or Done as an event; None for a nonce that is not open any more."""
        proxy = self.identifiers.proxy(got.proxy)
        if isinstance(got, Attach):
            return i.Joined(proxy, self.identifiers.zone(got.zone), got.rate, got.fresh)
        if isinstance(got, Detach):
            return i.Left(proxy)
        nonce = self.identifiers.nonces.get(got.nonce)
        return nonce and i.Answered(proxy, nonce, got.took)

    def orders(self, orders):
        """(order texts, the nonce or None, the nonce's order as a function of 0 or 1, log lines)."""
        texts, nonce, sync, said = [], None, None, []
        for order in orders:
            if isinstance(order, i.SetLine):
                table, backend = self.identifiers.table_id(order.table), order.backend.external_id
                texts.append(f"SET,{table},{backend},{figure(order.weight)}")
            elif isinstance(order, i.Bind):
                texts.append(f"USE,{order.proxy.external_id},{self.identifiers.table_id(order.table)},*")
            elif isinstance(order, i.Withdraw):
                texts.append(f"{'OUT' if order.out else 'IN'},{order.backend.external_id}")
            elif isinstance(order, i.SetLevel):
                kinds = "+".join(self.names[kind] for kind in order.kinds) or "*"
                texts.append(
                    f"LIMIT,{self.identifiers.table_id(order.table)},{kinds},{figure(order.level)},{order.retry}"
                )
            elif isinstance(order, i.PutNonce):
                nonce = self.identifiers.nonce_id(order.nonce)
                sync = f"SYNC,{nonce},{{}}".format
            elif isinstance(order, i.Log):
                said.append(order.text)
        return texts, nonce, sync, said
