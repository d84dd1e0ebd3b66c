"""The description of a deployment: XML, its schema, and the loader. Facts only, no tuned value of the
decisions.
"""

from .site import ControllerAt, Site, load
from .values import BadSite

__all__ = ["BadSite", "ControllerAt", "Site", "load"]
