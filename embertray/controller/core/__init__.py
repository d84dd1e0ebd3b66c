"""One controller without I/O: the decision module with its identifiers, outbox, channel and intake, and the
frontend before it.
"""

from .controller_core import ControllerCore
from .frontend import ControllerFrontend

__all__ = ["ControllerFrontend", "ControllerCore"]
