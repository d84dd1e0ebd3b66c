"""Loads a site's description: validates the XML, then makes the checks that a schema can't express."""

from lxml import etree

from .exceptions import SiteError
from .reader import SiteReader
from .schema import pattern_meanings, site_schema


def load(path):
    """Loads a description.

    Args:
        path: The XML file.

    Returns:
        The Site.

    Raises:
        SiteError: It can't be used; the text names file, line and what was expected.
    """
    tree = _parse(path)
    schema = site_schema()
    if not schema.validate(tree):  # validating also fills in the defaults
        raise _schema_error(path, schema.error_log[0])
    return SiteReader(tree.getroot(), path).site()


def _parse(path):
    """Parses the file without entities and network access, since a description may be untrusted."""
    parser = etree.XMLParser(resolve_entities=False, no_network=True, remove_comments=True)
    try:
        return etree.parse(str(path), parser)
    except OSError as error:
        raise SiteError(f"{path}: {error.args[0] if error.args else error}") from None
    except etree.XMLSyntaxError as error:
        raise SiteError(f"{path}:{error.lineno}: not well-formed XML: {error.msg}") from None


def _schema_error(path, error):
    """Returns a SiteError for an entry of lxml's log, with a pattern replaced by its documentation."""
    for pattern, meaning in pattern_meanings().items():
        if f"'{pattern}'" in error.message:
            what = error.message.split(" [facet")[0].split(": [facet")[0]
            if meaning:
                return SiteError(f"{path}:{error.line}: {what}: {meaning} is expected")
            break
    return SiteError(f"{path}:{error.line}: {error.message}")
