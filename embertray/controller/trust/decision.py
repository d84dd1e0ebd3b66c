"""What the trust rules instruct after an event."""

from typing import NamedTuple


class TrustDecision(NamedTuple):
    """What is to be handed on to the policy.

    Attributes:
        kind: An UpdateKind: how the entries stand to the list so far.
        entries: EndpointEntry items.
        request_complete: The complete list is to be requested again before the missing are believed gone.
    """

    kind: str
    entries: list
    request_complete: bool = False


class BackendAttempts(NamedTuple):
    """What one proxy met at one backend since its last load report.

    Attributes:
        backend: Its name.
        attempts: Attempts that ended.
        failed: How many of them failed.
    """

    backend: str
    attempts: int
    failed: int
