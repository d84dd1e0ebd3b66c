"""Descriptions of deployments (sites): the XML schema, the loader and the model."""

from .exceptions import SiteError
from .loader import load
from .model import ClusterSettings, Site, SiteController
from .schema import SITE_FOLDER

__all__ = ["SITE_FOLDER", "ClusterSettings", "Site", "SiteController", "SiteError", "load"]
