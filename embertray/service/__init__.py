"""The controller service: its daemon, the operators' HTTP, and site descriptions."""
