"""The adapter between the simulator's wire and the decision module; it decides nothing."""
