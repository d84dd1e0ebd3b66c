"""Parses the attribute values of a site's description; the schema has checked their form."""

# In bytes and ns. Units are tried in this order, so a unit that others end with comes after them.
SIZE_UNITS = {"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "B": 1}
TIME_UNITS = {"us": 10**3, "ms": 10**6, "min": 60 * 10**9, "s": 10**9}


def parse_duration(text):
    """Reads a time as '2.5s'.

    Returns:
        ns.

    Raises:
        ValueError: It has no known unit or is no number.
    """
    for unit, nanoseconds in TIME_UNITS.items():
        if text.endswith(unit):
            return round(float(text[: -len(unit)]) * nanoseconds)
    raise ValueError(text)


def parse_size(text):
    """Reads a size as '16MiB'.

    Returns:
        Bytes.

    Raises:
        ValueError: It has no known unit or is no whole number.
    """
    for unit, size in SIZE_UNITS.items():
        if text.endswith(unit):
            return int(text[: -len(unit)]) * size
    raise ValueError(text)


def parse_boolean(text):
    """Reads an xs:boolean."""
    return text in ("true", "1")
