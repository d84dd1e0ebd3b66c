"""Probes under way."""


class Probe:
    """A probe whose answer is still due.

    Attributes:
        target: Name of the member that is probed.
        incarnation: Its incarnation that is meant.
        indirect_at: When indirect probes are requested, ns.
        ends_at: When it has failed, ns.
        requester: Name of the member that requested it as an indirect probe; "" if it is this member's own.
        requester_sequence: The sequence number under which it was requested.
        nacks_due: Members that owe a Nack.
        indirect_requested: Whether indirect probes were requested.
    """

    __slots__ = (
        "target",
        "incarnation",
        "indirect_at",
        "ends_at",
        "requester",
        "requester_sequence",
        "nacks_due",
        "indirect_requested",
    )

    def __init__(self, target, incarnation, indirect_at, ends_at, requester="", requester_sequence=0):
        self.target = target
        self.incarnation = incarnation
        self.indirect_at = indirect_at
        self.ends_at = ends_at
        self.requester = requester
        self.requester_sequence = requester_sequence
        self.nacks_due = 0
        self.indirect_requested = False

    @property
    def may_request_indirect(self):
        """Whether indirect probes are still to be requested for it."""
        return not self.requester and not self.indirect_requested

    @property
    def next_at(self):
        """When something is due for it, ns."""
        return self.indirect_at if self.may_request_indirect else self.ends_at
