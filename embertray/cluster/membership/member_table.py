"""All members by name. Those that are not plainly alive are indexed, so that the cost of a message does not
grow with the members that are."""

from .member import ALIVE


class MemberTable(dict):
    """name -> Member. Members are added, restated and removed through the methods, which keep the index."""

    def __init__(self):
        super().__init__()
        self.additions = 0
        self.not_alive = {}  # name -> Member that is suspect, dead or has left
        self.departed = {}  # name -> Member that is dead or has left

    @property
    def active_count(self):
        """How many members are taken to be there: alive or suspect."""
        return len(self) - len(self.departed)

    def add(self, member):
        self.additions += 1
        member.position = self.additions
        self[member.name] = member
        self.index(member)
        return member

    def restate(self, member, statement):
        """A newer statement on a member takes the place of the former."""
        member.statement = statement
        self.index(member)

    def remove(self, name):
        del self[name]
        self.not_alive.pop(name, None)
        self.departed.pop(name, None)

    def index(self, member):
        for names, belongs in ((self.not_alive, member.state != ALIVE), (self.departed, not member.active)):
            if belongs:
                names[member.name] = member
            else:
                names.pop(member.name, None)

    def unsettled(self):
        """Members whose state may change by time alone, in the order in which they were added."""
        return sorted(self.not_alive.values(), key=lambda member: member.position)

    def deadlines(self):
        """Times at which a suspicion ends, ns."""
        return [
            member.suspicion_ends_at
            for member in self.not_alive.values()
            if member.suspicion_ends_at is not None
        ]
