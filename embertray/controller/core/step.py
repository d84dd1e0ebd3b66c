"""What one step of a controller asks of whoever runs it."""

from dataclasses import dataclass, field
from typing import NamedTuple

from embertray.controller.degradation import LevelChange
from embertray.controller.stream.messages import Orders


class ProxyOrders(NamedTuple):
    """A message that leaves now.

    Attributes:
        proxy: The receiver's name.
        orders: The Orders.
    """

    proxy: str
    orders: Orders


class StreamCut(NamedTuple):
    """A stream that is to be cut.

    Attributes:
        proxy: The proxy's name.
        reason: Why, for the log.
    """

    proxy: str
    reason: str


@dataclass
class Step:
    """What a step asks for.

    Attributes:
        outgoing: ProxyOrders that leave now, in order.
        subscribe: Whether the endpoint list is to be watched; None: as before.
        poll_list: The endpoint list is to be requested.
        probes: Names of backends that are to be probed.
        log_lines: What the policy has to log.
        cuts: StreamCut items.
        refetch_list: Backends were deferred and there is capacity again: the complete list is wanted.
        notices: CapNotice items for operators.
        level_change: The LevelChange, if another degradation level is in force.
    """

    outgoing: list[ProxyOrders] = field(default_factory=list)
    subscribe: bool | None = None
    poll_list: bool = False
    probes: list[str] = field(default_factory=list)
    log_lines: list[str] = field(default_factory=list)
    cuts: list[StreamCut] = field(default_factory=list)
    refetch_list: bool = False
    notices: list = field(default_factory=list)
    level_change: LevelChange | None = None
