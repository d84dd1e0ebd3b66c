"""What goes wrong, as processes on a stage. Each strikes, lasts, and is over; several may overlap."""

from .backends import Backends
from .controllers import Controllers
from .links import Links
from .lists import Lists
from .proxies import Proxies


class Fault(Backends, Proxies, Controllers, Lists, Links):
    """One line of a day, by its word."""
