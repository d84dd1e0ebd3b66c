"""Errors of the membership protocol."""


class MembershipError(Exception):
    """Base of all errors of the membership protocol."""


class UnreadableMessageError(MembershipError, ValueError):
    """A datagram is no message of this protocol: cut short, damaged, or something else."""
