"""Probes in flight."""


class Probe:
    """A probe that has not been acknowledged yet.

    Attributes:
        target: Name of the probed member.
        incarnation: Incarnation of the probed member.
        indirect_at: When indirect probes are requested, ns.
        ends_at: When it counts as failed, ns.
        requester: Name of the member that requested it as an indirect probe; "" if it is this member's own.
        requester_sequence: Sequence number of that request.
        nacks_due: Number of Nacks that have not arrived yet.
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
        """Whether indirect probes have yet to be requested."""
        return not self.requester and not self.indirect_requested

    @property
    def next_at(self):
        """When the next action for this probe is due, ns."""
        return self.indirect_at if self.may_request_indirect else self.ends_at
