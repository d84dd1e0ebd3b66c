"""One call with orders to the relay, and the form that carries it."""

from urllib.parse import urlencode

from .wire import ACKNOWLEDGED_BY_ALL, CALL_ACTION, CALL_ORDERS, ORDER_SEPARATOR


def ask_all_proxies(acknowledgement_request):
    """The text of a mark's order, changed so that all proxies answer it.

    Proxies that got an earlier part of the step are to answer, too.
    """
    return f"{acknowledgement_request.rpartition(',')[0]},{ACKNOWLEDGED_BY_ALL}"


class OrderCall:
    """The orders of one step, or a part of them.

    Attributes:
        orders: Texts, in order.
        nonce: The number that the proxies answer once they have applied the orders, or None.
        rejections: Errors that the call was answered with so far.
        is_half: Whether it is a part of a call that was never taken.
    """

    __slots__ = ("orders", "nonce", "rejections", "is_half")

    def __init__(self, orders, nonce=None, rejections=0, is_half=False):
        self.orders = orders
        self.nonce = nonce
        self.rejections = rejections
        self.is_half = is_half

    def body(self):
        """The form that carries the call, as bytes."""
        return urlencode([CALL_ACTION, (CALL_ORDERS, ORDER_SEPARATOR.join(self.orders))]).encode()
