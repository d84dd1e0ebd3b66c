"""Errors of the membership protocol."""


class MembershipError(Exception):
    """Base of all errors of the membership protocol."""


class UnreadableMessageError(MembershipError, ValueError):
    """A datagram is not a valid message of this protocol: truncated, damaged or foreign."""
