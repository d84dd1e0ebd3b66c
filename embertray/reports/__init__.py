"""Sums and load reports in: merged by zone and backend, let through at so many lines a second; no I/O."""
