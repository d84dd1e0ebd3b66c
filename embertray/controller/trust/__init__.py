"""Decides how far the endpoint list is trusted, by its age at the start, by load reports and by discovery."""

from .decision import BackendAttempts, TrustDecision
from .trust import Trust

__all__ = ["BackendAttempts", "Trust", "TrustDecision"]
