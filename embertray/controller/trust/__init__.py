"""What an endpoint list is worth: by age at the start, by what answers, and against what discovery says."""

from .decision import BackendAttempts, TrustDecision
from .trust import Trust

__all__ = ["BackendAttempts", "Trust", "TrustDecision"]
