"""Values of a site's description: read from their text, and checked where the schema can't."""

from embertray.common.net.address import BadAddress, loopback

SIZES = {"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "B": 1}
UNITS = {"us": 10**3, "ms": 10**6, "min": 60 * 10**9, "s": 10**9}


class BadSite(ValueError):
    """The description can't be used; the text names file, line and what was expected."""


def time(text):
    """'2.5s' in ns; the schema has checked its form."""
    for unit, worth in UNITS.items():
        if text.endswith(unit):
            return round(float(text[: -len(unit)]) * worth)
    raise ValueError(text)


def size(text):
    """'16MiB' in bytes; the schema has checked its form."""
    for unit, worth in SIZES.items():
        if text.endswith(unit):
            return int(text[: -len(unit)]) * worth
    raise ValueError(text)


class Addresses:
    """The addresses of one description: on loopback, and each used once."""

    def __init__(self, path):
        self.path, self.lines = path, {}

    def check(self, element, address):
        """Raises BadSite if it is not on loopback."""
        try:
            loopback(address)
        except BadAddress as wrong:
            raise BadSite(f"{self.path}:{element.sourceline}: {wrong}") from None

    def take(self, element, address):
        """Raises BadSite also if another element has it; port 0 is any free one."""
        self.check(element, address)
        if not address.endswith(":0") and address in self.lines:
            line = self.lines[address]
            raise BadSite(f"{self.path}:{element.sourceline}: {address} is taken by line {line} already")
        self.lines[address] = element.sourceline
