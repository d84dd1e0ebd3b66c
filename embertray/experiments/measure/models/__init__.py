"""Small models of the limits' real protocol cores, explored in every order of events.

Messages are lost, repeated and delayed; members crash, stop and resume; clocks drift apart.
"""

from .leader import LeaderModel
from .quota import QuotaModel

__all__ = ["LeaderModel", "QuotaModel"]
