"""Maps identifiers to handles; shared by the bench's adapter, the platform and the daemon.

The policy works with handles and never sees identifiers: incoming identifiers become handles, and outgoing
orders carry the identifiers of their handles.
"""

from embertray.policy import interface as i

# Numbers run from 1 to this, then start again from 1.
MAX_TABLE_NUMBER = 65534
MAX_NONCE_NUMBER = 65535


class Identifiers:
    """The identifiers of one controller. Tables and nonces get their number when they are first ordered.

    Attributes:
        backends: Name -> interface.Backend.
        proxies: Name or number -> interface.Proxy.
        zones: Name -> interface.Zone.
        tables: Number -> interface.Table, of the slices' tables, whose numbers the bench assigns.
        nonces: Number -> interface.Nonce, of unacknowledged nonces.
        last_nonce_number: The number that was assigned last to a nonce; 0: none.
        last_table_number: The number that was assigned last to a table; 0: none.
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
    def get_or_create(handles, handle_type, identifier):
        """Returns the handle of an identifier in `handles`; creates it by `handle_type` if it is new."""
        if identifier not in handles:
            handles[identifier] = handle_type(identifier)
        return handles[identifier]

    def zone(self, name):
        """Returns the interface.Zone of a name."""
        return self.get_or_create(self.zones, i.Zone, name)

    def backend(self, name):
        """Returns the interface.Backend of a name."""
        return self.get_or_create(self.backends, i.Backend, name)

    def proxy(self, name):
        """Returns the interface.Proxy of a name or number."""
        return self.get_or_create(self.proxies, i.Proxy, name)

    def slice_table(self, number):
        """Returns the interface.Table of a slice by the number that the bench assigned to it."""
        return self.get_or_create(self.tables, i.Table, number)

    def table_id(self, table):
        """Returns the number of a table; assigns one when the table is first ordered."""
        if table.external_id is None:
            self.last_table_number = self.last_table_number % MAX_TABLE_NUMBER + 1
            table.external_id = self.last_table_number
        return table.external_id

    def nonce_id(self, nonce):
        """Assigns a new number to a nonce; an older nonce with the same number is replaced."""
        self.last_nonce_number = self.last_nonce_number % MAX_NONCE_NUMBER + 1
        nonce.external_id = self.last_nonce_number
        self.nonces[self.last_nonce_number] = nonce
        return self.last_nonce_number
