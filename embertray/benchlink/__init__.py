"""Adapter between the simulator's wire protocol and the policy; makes no decisions."""
