"""One object for each id, for the bench's adapter and the daemon alike.

The module deals in objects and never sees ids; what comes in names ids, what goes out must name them again.
"""

from embertray.policy import interface as i

TABLES, NONCES = 65534, 65535  # ids in use: 1 to this, then anew


class Identifiers:
    """One instance's ids. Tables and nonces are numbered when they are first ordered."""

    def __init__(self):
        self.backends, self.proxies, self.zones, self.tables, self.nonces = {}, {}, {}, {}, {}
        self.next_nonce = self.next_table = 0

    @staticmethod
    def known(things, kind, ident):
        if ident not in things:
            things[ident] = kind(ident)
        return things[ident]

    def zone(self, name):
        return self.known(self.zones, i.Zone, name)

    def backend(self, address):
        return self.known(self.backends, i.Backend, address)

    def proxy(self, ident):
        return self.known(self.proxies, i.Proxy, ident)

    def slice(self, ident):
        return self.known(self.tables, i.Table, ident)

    def table_id(self, table):
        if table.external_id is None:
            self.next_table = self.next_table % TABLES + 1
            table.external_id = self.next_table
        return table.external_id

    def nonce_id(self, nonce):
        """A new number for a nonce that is ordered now; the oldest of the same number is forgotten."""
        self.next_nonce = self.next_nonce % NONCES + 1
        nonce.external_id = self.next_nonce
        self.nonces[self.next_nonce] = nonce
        return self.next_nonce
