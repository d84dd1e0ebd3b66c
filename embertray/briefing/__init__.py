"""What an instance is told at its start, for the bench's adapter and the platform's controller; no I/O."""

from .briefing import BadBriefing, Briefing

__all__ = ["BadBriefing", "Briefing"]
