"""Quotas that hold over the whole fleet: loans for a term, lent by one leader at a time.

The leader is whoever holds a lease that a majority of the members granted. `Limits` is a state machine
without I/O. The design is in docs/design/limits.md.
"""

from .config import DEFAULT_CONFIG, LimitsConfig
from .core import Limits
from .messages import OutgoingMessage
from .proxy_quotas import QuotaUpdate
from .quota_holder import QuotaHolder

__all__ = ["DEFAULT_CONFIG", "Limits", "LimitsConfig", "OutgoingMessage", "QuotaHolder", "QuotaUpdate"]
