"""All other members by name, with indices of those that are not plainly alive.

By the indices the cost of a message does not grow with the members that are alive.
"""

from .member import ALIVE


class MemberTable(dict):
    """name -> Member. Members are added, restated and removed by its methods, which keep the indices.

    Attributes:
        not_alive: name -> Member that is suspect, dead or has left.
        departed: name -> Member that is dead or has left.
    """

    def __init__(self):
        super().__init__()
        self.additions = 0
        self.not_alive = {}
        self.departed = {}

    @property
    def active_count(self):
        """How many members are alive or suspect."""
        return len(self) - len(self.departed)

    def add(self, member):
        """Add a member that is new.

        Args:
            member: The Member.
        """
        self.additions += 1
        member.position = self.additions
        self[member.name] = member
        self._index(member)

    def replace_statement(self, member, statement):
        """Put a newer statement about a member in the place of the former.

        Args:
            member: The Member.
            statement: The Statement.
        """
        member.statement = statement
        self._index(member)

    def remove(self, name):
        """Forget a member.

        Args:
            name: Its name.
        """
        del self[name]
        self.not_alive.pop(name, None)
        self.departed.pop(name, None)

    def _index(self, member):
        for index, belongs in ((self.not_alive, member.state != ALIVE), (self.departed, not member.active)):
            if belongs:
                index[member.name] = member
            else:
                index.pop(member.name, None)

    def not_alive_in_order(self):
        """Return the members whose state may change by time alone, in the order in which they were added."""
        return sorted(self.not_alive.values(), key=lambda member: member.position)

    def suspicion_deadlines(self):
        """Return the times at which suspicions end in death, ns."""
        return [
            member.suspicion_deadline
            for member in self.not_alive.values()
            if member.suspicion_deadline is not None
        ]
