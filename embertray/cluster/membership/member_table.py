"""All other members by name, with indexes of those that are not alive.

With the indexes the cost of handling a message does not depend on the number of alive members.
"""

from .member import ALIVE


class MemberTable(dict):
    """name -> Member. Use its methods to add, update and remove members: they maintain the indexes.

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
        """The number of members that are alive or suspect."""
        return len(self) - len(self.departed)

    def add(self, member):
        """Add a new member.

        Args:
            member: The Member.
        """
        self.additions += 1
        member.position = self.additions
        self[member.name] = member
        self._index(member)

    def replace_statement(self, member, statement):
        """Replace the statement about a member by a newer one.

        Args:
            member: The Member.
            statement: The Statement.
        """
        member.statement = statement
        self._index(member)

    def remove(self, name):
        """Remove a member.

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
        """Return the members that are not alive, in the order in which they were added."""
        return sorted(self.not_alive.values(), key=lambda member: member.position)

    def suspicion_deadlines(self):
        """Return the suspicion deadlines of all members that have one, ns."""
        return [
            member.suspicion_deadline
            for member in self.not_alive.values()
            if member.suspicion_deadline is not None
        ]
