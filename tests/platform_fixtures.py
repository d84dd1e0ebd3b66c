"""Shared fixtures of the tests of the platform's controller: settings, messages, and a running Service with
stand-ins of the relay and discovery.
"""

import json
from contextlib import asynccontextmanager
from pathlib import Path

import anyio

from embertray.common.net.clock import LoopClock
from embertray.common.net.tcp import TcpNet
from embertray.platform.protocol.configuration import read_configuration
from embertray.platform.protocol.inbound import BackendReport, InboundConnection, TrafficReport
from embertray.platform.run.service import Service
from embertray.simulation.scenarios.player import error_logger
from embertray.simulation.standins.discovery import StandinDiscovery
from embertray.simulation.standins.relay import StandinRelay

HERE = Path(__file__).resolve().parent
MS, S = 10**6, 10**9
SETTINGS = {
    "az": "north",
    "balancers": 1,
    "discovery": "push",
    "feedback": {"fields": ["waiting", "avg_ms"], "how": "piggyback"},
    "contract": {
        "cold-from": 0.2,
        "drain-grace-us": 3000000,
        "fall-multiple": 4.0,
        "fall-us": 3000000,
        "warm-after-us": 5000000,
    },
    "profiles": [
        {"name": "view", "aim-us": 800000, "deadline-us": 2000000, "effect": "read_like", "worth": 1.0},
        {"name": "pay", "aim-us": 800000, "deadline-us": 2000000, "effect": "non_idempotent", "worth": 2.0},
    ],
    "specifics": {
        "agents": 40,
        "channel-rate": 4000.0,
        "pending-max": 4000.0,
        "head": 6.0,
        "throttle-by": "share",
        "push-delay-us": 100000,
        "push-delay-max-us": 200000,
        "cycle-us": 1000000,
        "messages-most": 0,
    },
    "tick-us": 1000,
    "zones": ["north", "south"],
}
ACCEPTED_ANSWER = b"<Response><items><item><ok_count>%d</ok_count></item></items></Response>"
ERROR = b"<Response><Errors><Error><Code>%s</Code></Error></Errors></Response>"


def endpoint_fields(backend, zone="north", **overrides):
    return {"id": backend, "locality": zone, "phase": "ready", "size": 1.0, "up_since_ms": 0, **overrides}


def configuration_json(relay="127.0.0.1:1", discovery="127.0.0.1:1", listen="127.0.0.1:0", **overrides):
    return json.dumps(
        {
            "name": "n1",
            "listen": listen,
            "discovery": discovery,
            "store": {"address": relay},
            "seed": "8c1f",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "settings": SETTINGS,
            "known": {
                "revision": 0,
                "complete": True,
                "members": [endpoint_fields("be-1"), endpoint_fields("be-2")],
            },
            **overrides,
        }
    ).encode()


def inbound_connection():
    return InboundConnection(0, ["north", "south"], {"view": 0}, 40)


JOIN_LINE = b'{"@type":"telemetry","locality":"north"}\n'
BACKEND_REPORT_LINE = (
    b'{"@type":"upstream_stats","locality":"north","endpoint":"be-1","total":9,"errors":1,"rtt":41.5,"interval":1000.0,'
    b'"metrics":{"queue":3,"util":0.5}}\n'
)
TRAFFIC_REPORT_LINE = (
    b'{"@type":"client_stats","node":17,"route":"view","total":19,"errors":2,"interval":2000.0}\n'
)
EXPECTED_REPORTS = [
    BackendReport("be-1", "north", 9, 1, 41_500_000, S, {"waiting": 3, "busy": 0.5}),
    TrafficReport(17, "view", 19, 2, 2 * S),
]


@asynccontextmanager
async def running_service(prepare=lambda relay, discovery: None, **overrides):
    """Yield (service, relay, discovery): a running Service with stand-ins that `prepare` has set up."""
    net = TcpNet()
    discovery = StandinDiscovery(
        net, {name: endpoint_fields(name, zone) for name, zone in (("be-1", "north"), ("be-2", "south"))}
    )
    relay = StandinRelay(net)
    async with anyio.create_task_group() as group:
        await group.start(discovery.run)
        await group.start(relay.run)
        data = configuration_json(relay.address, discovery.address, **overrides)
        prepare(relay, discovery)
        service = Service(
            read_configuration(data), LoopClock(), net, lambda: read_configuration(data), error_logger()
        )
        await group.start(lambda **kw: service.run(**kw))
        with anyio.fail_after(30):
            yield service, relay, discovery
        group.cancel_scope.cancel()


async def connect_client(service, data=b""):
    stream = await TcpNet().dial(service.address)
    if data:
        await stream.send(data)
    return stream


async def read_until_closed(stream):
    """Return all bytes until the connection ends, and whether it ended with a reset."""
    received = b""
    try:
        while True:
            received += await stream.receive()
    except anyio.EndOfStream:
        return received, False
    except anyio.BrokenResourceError:
        return received, True
    finally:
        await stream.aclose()


async def read_all(stream):
    """Return all bytes until the connection is closed or reset."""
    received = b""
    try:
        while True:
            received += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        await stream.aclose()
        return received
