"""The result of one step of a controller: actions for its caller."""

from dataclasses import dataclass, field
from typing import NamedTuple

from embertray.controller.degradation import LevelChange
from embertray.controller.stream.messages import Orders


class ProxyOrders(NamedTuple):
    """A message to send now.

    Attributes:
        proxy: The receiver's name.
        orders: The Orders.
    """

    proxy: str
    orders: Orders


class StreamCut(NamedTuple):
    """A stream to cut.

    Attributes:
        proxy: The proxy's name.
        reason: The reason, for the log.
    """

    proxy: str
    reason: str


@dataclass
class Step:
    """The actions that result from one step.

    Attributes:
        outgoing: ProxyOrders to send now, in order.
        subscribe: Whether to watch the endpoint list; None: unchanged.
        poll_list: Whether to request the endpoint list.
        probes: Names of the backends to probe.
        log_lines: Texts that the policy logs.
        cuts: StreamCut items.
        refetch_list: Whether to request the complete list: backends were deferred and there is memory again.
        notices: CapNotice items for operators.
        level_change: The LevelChange, if the degradation level changed.
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
