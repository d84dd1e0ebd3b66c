"""Routing decisions: create one `Controller` per controller instance and step it with batches of events.

Each rule has its own module, whose docstring states the rule, its inputs and the failure that it prevents:
`learned_weights`, `slow_start`, `outlier_detection`, `congestion`, `locality`, `subsetting`, `load_shedding`,
`endpoint_watch`, `channel_budget`, `message_limit`, `update_queue`, `endpoint_removal`, `proxy_binding`.
`weight_planner` and `publisher` run the rules in order. `context`, `backend`, `proxy`, `routing_tables` and
`table_writer` hold the state that the rules share, `interface` defines the events and orders, and `records`
stores samples of reports and what was sent. Nothing here does I/O, reads a clock or depends on a particular
deployment; times are whole nanoseconds.

A step is one call of `Controller.step`. A control cycle is a step in which all rules run, every 250 ms. A
learning round is a control cycle in which capacities are learned and ejected backends recover, every 2 s.
Load shedding evaluates the load once a second. A resync queues all tables again, every 10 s.
"""

from .controller import Controller

__all__ = ["Controller"]
