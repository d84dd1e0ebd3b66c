"""Simulation of the control plane in virtual time, with production cores.

Links delay messages, close, and queue; processes are killed, stopped, restarted and lose their state.
Messages are sent as encoded bytes.
"""

from .faults import draw_faults
from .simulation import ControlPlaneSimulation, Settings

__all__ = ["ControlPlaneSimulation", "Settings", "draw_faults"]
