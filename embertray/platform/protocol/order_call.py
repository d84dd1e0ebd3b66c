"""One call with orders to the relay, and its form encoding."""

from urllib.parse import urlencode

from .wire import ACKNOWLEDGED_BY_ALL, CALL_ACTION, CALL_ORDERS, ORDER_SEPARATOR


def ask_all_proxies(acknowledgement_request):
    """Change an acknowledgement request so that all proxies acknowledge it.

    Proxies that received only an earlier part of the step must acknowledge it, too.
    """
    return f"{acknowledgement_request.rpartition(',')[0]},{ACKNOWLEDGED_BY_ALL}"


class OrderCall:
    """The orders of one step, or some of them.

    Attributes:
        orders: Texts, in order.
        nonce: The number that proxies acknowledge once they have applied the orders, or None.
        rejections: Number of times that the call was rejected with an error.
        is_half: Whether it is a part of a rejected call that was split.
    """

    __slots__ = ("orders", "nonce", "rejections", "is_half")

    def __init__(self, orders, nonce=None, rejections=0, is_half=False):
        self.orders = orders
        self.nonce = nonce
        self.rejections = rejections
        self.is_half = is_half

    def body(self):
        """Return the form-encoded call as bytes."""
        return urlencode([CALL_ACTION, (CALL_ORDERS, ORDER_SEPARATOR.join(self.orders))]).encode()
