"""The schema of site descriptions, and the defaults and pattern descriptions that are read from it."""

from functools import cache
from pathlib import Path

from lxml import etree

SITE_FOLDER = Path(__file__).resolve().parent  # holds the schema, and descriptions in samples/
SCHEMA_PATH = SITE_FOLDER / "site.xsd"
XSD_NAMESPACE = "{http://www.w3.org/2001/XMLSchema}"


@cache
def site_schema():
    """Returns the etree.XMLSchema."""
    return etree.XMLSchema(etree.parse(SCHEMA_PATH))


@cache
def pattern_meanings():
    """Returns a description of each pattern: pattern -> documentation of its type."""
    meanings = {}
    for simple_type in etree.parse(SCHEMA_PATH).iter(XSD_NAMESPACE + "simpleType"):
        pattern = simple_type.find(f".//{XSD_NAMESPACE}pattern")
        if pattern is not None:
            meanings[pattern.get("value")] = simple_type.findtext(f".//{XSD_NAMESPACE}documentation")
    return meanings


@cache
def attribute_defaults():
    """Returns the defaults that the schema states: element's name -> attribute -> text.

    The schema is their only source. While validating, lxml fills in missing attributes, but not those of
    missing elements.
    """
    defaults = {}
    for element in etree.parse(SCHEMA_PATH).iter(XSD_NAMESPACE + "element"):
        for attribute in element.iterfind(f"./{XSD_NAMESPACE}complexType/{XSD_NAMESPACE}attribute"):
            default = attribute.get("default")
            if default is not None:
                defaults.setdefault(element.get("name"), {})[attribute.get("name")] = default
    return defaults
