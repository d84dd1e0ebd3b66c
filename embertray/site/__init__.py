"""The description of a deployment: XML, its schema, and the loader. Facts only, no tuned value of the
decisions.
"""

from .site import BadSite, ControllerAt, Site, load

__all__ = ["BadSite", "ControllerAt", "Site", "load"]
