"""Thresholds of Python's garbage collector for a controller."""

# Allocations before a collection of the young generation, and collections before one of the next, and of the
# oldest. Nearly all that is made here is freed by reference counts; cycles are few. With Python's defaults
# (700, 10, 10) the collector took 7 percent of the CPU and stopped the process for 163 ms at 1,000 proxies;
# with these, 0.2 percent and 45 ms (docs/measured/memory.md).
COLLECTOR_THRESHOLDS = (50_000, 20, 100)
