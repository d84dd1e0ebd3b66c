"""All routing decisions: make one `Controller` for each instance and step it with batches of events.

Each rule has its module, which opens with the rule, its inputs and the failure that it guards against:
`learned_weights`, `slow_start`, `outlier_detection`, `congestion`, `locality`, `subsetting`, `load_shedding`,
`endpoint_watch`, `channel_budget`, `update_queue`, `endpoint_removal`, `proxy_binding`. `weight_planner` and
`publisher` run them in order. `context`, `backend`, `proxy`, `routing_tables` and `table_writer` are what the
rules share, `interface` has the types of events and orders, `records` what is remembered. Nothing here does
I/O, reads a clock or knows which deployment it serves; times are whole nanoseconds.

A step is one call of `Controller.step`. A beat is a step at which all rules run, every 250 ms. A solve is a
beat at which capacities are learnt and ejected backends recover, every 2 s. Load shedding looks once a
second. A sweep, every 10 s, queues all tables anew.
"""

from .controller import Controller

__all__ = ["Controller"]
