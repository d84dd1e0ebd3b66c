"""One controller without I/O: the core that runs the policy, and the frontend that its transports call."""

from .controller_core import ControllerCore
from .frontend import ControllerFrontend
from .step import ProxyOrders, Step, StreamCut

__all__ = ["ControllerCore", "ControllerFrontend", "ProxyOrders", "Step", "StreamCut"]
