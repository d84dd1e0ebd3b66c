"""One controller without I/O: the policy with its parts, and the frontend that its transports talk to."""

from .controller_core import ControllerCore
from .frontend import ControllerFrontend
from .step import ProxyOrders, Step, StreamCut

__all__ = ["ControllerCore", "ControllerFrontend", "ProxyOrders", "Step", "StreamCut"]
