"""Fleet-wide limits: one leader at a time grants the members quotas that are valid for a lease term.

The leader is the member that holds a lease granted by a majority of the members. `Limits` is a state machine
without I/O. The design is in docs/design/limits.md.
"""

from .config import DEFAULT_CONFIG, LimitsConfig
from .core import Limits
from .messages import OutgoingMessage
from .proxy_quotas import QuotaUpdate
from .quota_holder import QuotaHolder

__all__ = ["DEFAULT_CONFIG", "Limits", "LimitsConfig", "OutgoingMessage", "QuotaHolder", "QuotaUpdate"]
