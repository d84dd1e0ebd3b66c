"""The control plane under virtual time: the cores that processes run, with links that delay, close and hold,
and processes that are killed, stopped, restarted and lose their state. Messages travel as bytes.
"""

from .faults import draw_faults
from .play import ControlPlay, Settings

__all__ = ["ControlPlay", "Settings", "draw_faults"]
