"""Errors of a site's description."""


class SiteError(ValueError):
    """The description can't be used; the text names file, line and what was expected."""
