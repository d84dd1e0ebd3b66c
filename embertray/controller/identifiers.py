"""One object for each id, for the bench's adapter and the daemon alike.

The module deals in objects and never sees ids; what comes in names ids, what goes out must name them again.
"""

from embertray.policy import interface as i

TABLE_NUMBERS, NONCE_NUMBERS = 65534, 65535  # ids in use: 1 to this, then anew


class Identifiers:
    """One instance's ids. Tables and nonces are numbered when they are first ordered."""

    def __init__(self):
        self.backends, self.proxies, self.zones, self.tables, self.nonces = {}, {}, {}, {}, {}
        self.last_nonce_number = self.last_table_number = 0

    @staticmethod
    def get_or_create(things, kind, ident):
        if ident not in things:
            things[ident] = kind(ident)
        return things[ident]

    def zone(self, name):
        return self.get_or_create(self.zones, i.Zone, name)

    def backend(self, address):
        return self.get_or_create(self.backends, i.Backend, address)

    def proxy(self, ident):
        return self.get_or_create(self.proxies, i.Proxy, ident)

    def slice_table(self, ident):
        return self.get_or_create(self.tables, i.Table, ident)

    def table_id(self, table):
        if table.external_id is None:
            self.last_table_number = self.last_table_number % TABLE_NUMBERS + 1
            table.external_id = self.last_table_number
        return table.external_id

    def nonce_id(self, nonce):
        """A new number for a nonce that is ordered now; the oldest of the same number is forgotten."""
        self.last_nonce_number = self.last_nonce_number % NONCE_NUMBERS + 1
        nonce.external_id = self.last_nonce_number
        self.nonces[self.last_nonce_number] = nonce
        return self.last_nonce_number
