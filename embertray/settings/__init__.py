"""What an instance is told at its start, for the bench's adapter and the platform's controller; no I/O."""

from .settings import BadSettings, StartSettings

__all__ = ["BadSettings", "StartSettings"]
