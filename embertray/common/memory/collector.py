"""Thresholds of Python's garbage collector for a controller."""

# Allocations before a collection of the youngest generation, and collections of each generation before one of
# the next older. Reference counting frees nearly all objects; cycles are rare. At 1,000 proxies the collector
# took 7 percent of the CPU and paused the process for 163 ms with Python's defaults (700, 10, 10), and 0.2
# percent and 45 ms with these values (docs/measured/memory.md).
COLLECTOR_THRESHOLDS = (50_000, 20, 100)
