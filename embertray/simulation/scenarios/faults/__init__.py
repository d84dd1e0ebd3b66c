"""The faults of a day, as tasks that act on its stage. Each begins, lasts and ends; several may overlap."""

from .backends import Backends
from .controllers import Controllers
from .links import Links
from .lists import Lists
from .proxies import Proxies


class Fault(Backends, Proxies, Controllers, Lists, Links):
    """A fault of a day; the method for its word is `do_<word>`."""
