"""Whom to probe next, and the probes under way."""


class Probe:
    """`asked`: members that owe a Nack; `on_behalf_of`: (member, number) we probe for, or None."""

    __slots__ = ("target", "incarnation", "direct_by", "until", "asked", "helped", "on_behalf_of")

    def __init__(self, target, life, direct_by, until, on_behalf_of=None):
        self.target, self.incarnation, self.direct_by, self.until = target, life, direct_by, until
        self.asked, self.helped, self.on_behalf_of = 0, False, on_behalf_of
