"""One object for each identifier, for the bench's adapter, the platform and the daemon alike.

The decision module deals in objects and never sees identifiers; what comes in names identifiers, what goes
out must name them again.
"""

from embertray.policy import interface as i

# numbers in use: 1 to this, then anew from 1
MAX_TABLE_NUMBER = 65534
MAX_NONCE_NUMBER = 65535


class Identifiers:
    """One controller's identifiers. Tables and nonces are numbered when they are first ordered.

    Attributes:
        backends: Name -> interface.Backend.
        proxies: Name or number -> interface.Proxy.
        zones: Name -> interface.Zone.
        tables: Number -> interface.Table, of tables that came numbered.
        nonces: Number -> interface.Nonce, of nonces that are open.
    """

    def __init__(self):
        self.backends = {}
        self.proxies = {}
        self.zones = {}
        self.tables = {}
        self.nonces = {}
        self.last_nonce_number = 0
        self.last_table_number = 0

    @staticmethod
    def get_or_create(handles, kind, identifier):
        """The handle of an identifier among `handles`, made by `kind` if it is named for the first time."""
        if identifier not in handles:
            handles[identifier] = kind(identifier)
        return handles[identifier]

    def zone(self, name):
        """The interface.Zone of a name."""
        return self.get_or_create(self.zones, i.Zone, name)

    def backend(self, name):
        """The interface.Backend of a name."""
        return self.get_or_create(self.backends, i.Backend, name)

    def proxy(self, name):
        """The interface.Proxy of a name or number."""
        return self.get_or_create(self.proxies, i.Proxy, name)

    def slice_table(self, number):
        """The interface.Table that belongs to a slice and came numbered."""
        return self.get_or_create(self.tables, i.Table, number)

    def table_id(self, table):
        """The number of a table, a new one if it is ordered for the first time."""
        if table.external_id is None:
            self.last_table_number = self.last_table_number % MAX_TABLE_NUMBER + 1
            table.external_id = self.last_table_number
        return table.external_id

    def nonce_id(self, nonce):
        """A new number for a nonce that is ordered now; the oldest of the same number is forgotten."""
        self.last_nonce_number = self.last_nonce_number % MAX_NONCE_NUMBER + 1
        nonce.external_id = self.last_nonce_number
        self.nonces[self.last_nonce_number] = nonce
        return self.last_nonce_number
