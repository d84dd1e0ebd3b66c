"""The proxies and tables of the relay's stand-in, and how orders change them."""

from typing import NamedTuple


class Nonce(NamedTuple):
    """A request for acknowledgement.

    Attributes:
        text: the nonce, as it is sent back.
        from_all: whether all attached proxies answer, or those that the call's orders have reached so far.
    """

    text: str
    from_all: bool


class RelayState:
    """Proxies, their tables and limits.

    Attributes:
        attached: node -> the text of its `attach` event.
        tables: table -> backend -> weight.
        bound: node -> its table.
        withdrawn: backends that no proxy picks, whatever its table says.
        levels: (table, request kind) -> (level, pause).
    """

    def __init__(self):
        self.attached = {}
        self.tables = {}
        self.bound = {}
        self.withdrawn = set()
        self.levels = {}

    def lines(self, node):
        """Returns the lines that a proxy may pick.

        Args:
            node: the proxy's number.

        Returns:
            Backend -> weight, without withdrawn backends.
        """
        table = self.tables.get(self.bound.get(node), {})
        return {backend: weight for backend, weight in table.items() if backend not in self.withdrawn}

    def carry_out(self, order, reached_nodes):
        """Carries out one order.

        Args:
            order: its text: a verb and arguments, with commas between.
            reached_nodes: the proxies that the call has reached; those of this order are added.

        Returns:
            A Nonce where the order asks for acknowledgements, else None.

        Raises:
            KeyError: the proxy is not attached.
            IndexError: an argument is missing.
            ValueError: the verb is unknown, or a number cannot be read.
        """
        verb, *arguments = order.split(",")
        if verb == "SYNC":
            return Nonce(arguments[0], arguments[1] == "1")
        if verb == "SET":
            self._set_weight(arguments, reached_nodes)
        elif verb == "USE":
            self._bind(arguments, reached_nodes)
        elif verb == "OUT":
            self.withdrawn.add(arguments[0])
            reached_nodes.update(self.attached)
        elif verb == "IN":
            self.withdrawn.discard(arguments[0])
            reached_nodes.update(self.attached)
        elif verb == "LIMIT":
            self._set_level(arguments, reached_nodes)
        else:
            raise ValueError(f"unknown verb {verb!r}")
        return None

    def _set_weight(self, arguments, reached_nodes):
        name = arguments[0]
        backend = arguments[1]
        table = self.tables.setdefault(name, {})
        table[backend] = float(arguments[2])
        if not table[backend]:
            del table[backend]
        reached_nodes.update(self._nodes_of(name))

    def _bind(self, arguments, reached_nodes):
        node = int(arguments[0])
        if node not in self.attached:
            raise KeyError(f"proxy {node} is not attached")
        self.bound[node] = arguments[1]
        # An event stream that opens later sends the proxy as it is now.
        self.attached[node] = self.attached[node].replace("cold=1", "cold=0")
        reached_nodes.add(node)

    def _set_level(self, arguments, reached_nodes):
        table = arguments[0]
        self.levels[table, arguments[1]] = float(arguments[2]), int(arguments[3])
        reached_nodes.update(self._nodes_of(table))

    def _nodes_of(self, table):
        return [node for node, bound in self.bound.items() if bound == table]
