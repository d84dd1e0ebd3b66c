"""Input and result of the trust rules."""

from typing import NamedTuple


class TrustDecision(NamedTuple):
    """An update of the endpoint list to forward to the policy.

    Attributes:
        kind: An UpdateKind: how the entries relate to the current list.
        entries: EndpointEntry items.
        request_complete: Whether to request the complete list again before missing backends are removed.
    """

    kind: str
    entries: list
    request_complete: bool = False


class BackendAttempts(NamedTuple):
    """One proxy's attempts at one backend since its last load report.

    Attributes:
        backend: The backend's name.
        attempts: Finished attempts.
        failed: Failed attempts among them.
    """

    backend: str
    attempts: int
    failed: int
