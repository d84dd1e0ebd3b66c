"""Checks that the addresses of a description are on loopback and that each is used once."""

from embertray.common.net.address import parse_loopback
from embertray.common.net.exceptions import AddressError

from .exceptions import SiteError

ANY_FREE_PORT = ":0"


class UsedAddresses:
    """The addresses that the elements of a description use.

    Args:
        path: The description's file, for errors.
    """

    def __init__(self, path):
        self._path = path
        self._lines = {}  # address -> line of the element that uses it

    def check(self, element, address):
        """Checks an address.

        Raises:
            SiteError: It is not on loopback.
        """
        try:
            parse_loopback(address)
        except AddressError as error:
            raise SiteError(f"{self._path}:{element.sourceline}: {error}") from None

    def use(self, element, address):
        """Checks an address and records its use.

        Raises:
            SiteError: It is not on loopback, or another element uses it.
        """
        self.check(element, address)
        if not address.endswith(ANY_FREE_PORT) and address in self._lines:
            line = self._lines[address]
            raise SiteError(f"{self._path}:{element.sourceline}: {address} is taken by line {line} already")
        self._lines[address] = element.sourceline
