"""The control plane under virtual time, on production cores.

Links delay, close and queue; processes are killed, stopped, restarted and lose their state. Messages travel
as bytes.
"""

from .faults import draw_faults
from .simulation import ControlPlaneSimulation, Settings

__all__ = ["ControlPlaneSimulation", "Settings", "draw_faults"]
