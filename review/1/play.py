"""Plays the case: one controller of `run` and 40 backends, of which six in ten are replaced within 7 s."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from platform_standins import World, most_in_window, now

HERE = Path(__file__).resolve().parent
ROOT = HERE.parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["casa-1"]
BACKENDS, PROXIES, RATE = 40, 75, 0.2
CHANNEL_RATE, HEAD, GRACE_S, WINDOW_S, MESSAGES_MOST = 5000.0, 6, 3.0, 10.0, 20
SLACK_S = 0.3  # "300 ms longer"
REPLACED, WITHIN_S, DRAIN_S = 23, 6.0, 4.0  # under six in ten of 39, within 7 s; a drain takes 2 to 6 s
SETTLE_S, CONTROL_S, AFTER_S = 12, 14, 12

SETTINGS = {
    "az": "casa-1", "balancers": 2, "discovery": "push", "weights": "silent", "tick-us": 5000, "zones": ZONES, "me": 0,
    "counted-by": "request", "family": "control", "flavors": ["std-3c"],
    "feedback": {"fields": ["waiting", "avg_ms"], "how": "piggyback"},
    "fees": {"cross-zone": 0.01}, "caps": {"probes": False, "peer-messages": False, "cpu-us-per-s": 400000},
    "contract": {"cold-from": 0.17, "drain-grace-us": int(GRACE_S * 1e6), "fall-multiple": 4.0, "fall-us": 3000000,
                 "warm-after-us": 17000000, "full-may-have-run": False},
    "profiles": [
        {"name": "tile-fetch", "aim-us": 800000, "deadline-us": 2000000, "effect": "read_like", "worth": 1.0, "late-worth": 0.1},
        {"name": "overlay-post", "aim-us": 1000000, "deadline-us": 3000000, "effect": "non_idempotent", "worth": 2.0, "late-worth": 0.2},
    ],
    "specifics": {"agents": 150, "channel-rate": CHANNEL_RATE, "pending-max": 5000.0, "head": HEAD, "throttle-by": "share",
                  "selects-by": "round", "standing": 5, "base-mode": 1, "per-try": 0.8, "fails-to-eject": 0,
                  "blackhole-us": 2300000, "push-delay-us": 100000, "push-delay-max-us": 260000, "cycle-us": 2000000,
                  "reports-per-s": 75, "messages-most": MESSAGES_MOST, "update-window-us": int(WINDOW_S * 1e6),
                  "zonal": True, "partitions-n": 0, "sole-owner": False, "cost-per-line": 0.04},
}


def free_port():
    """A free port below those that the system gives to outgoing connections, so that none takes it meanwhile."""
    while True:
        port = random.randrange(15_000, 32_000)
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


async def wait_ready(address, limit=30):
    host, port = address.split(":")
    end = now() + limit
    while now() < end:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b'{"@type":"hb"}\n')
            answer = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            if b"hb_ok" in answer:
                return True
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.1)
    return False


async def drain(world, backend):
    """A backend drains, and its process ends."""
    backend.phase = "draining"
    world.discovery.change(backend)
    world.log("drain", backend=backend.name)
    await asyncio.sleep(DRAIN_S)
    backend.end()
    backend.phase = "gone"
    world.discovery.change(backend)
    world.log("ended", backend=backend.name)


async def replace(world, backend, number):
    """The release of one backend: it drains, and another one with a new id starts."""
    draining = asyncio.ensure_future(drain(world, backend))
    new = world.add_backend(f"n-{number:04x}", backend.zone)
    new.up_since_ms = int(time.time() * 1000)
    await new.start()
    world.discovery.change(new)
    await draining


async def play(record):
    world = World(ZONES, BACKENDS, PROXIES, RATE, record, CHANNEL_RATE, HEAD)
    discovery, relay = await world.start()
    listen = f"127.0.0.1:{free_port()}"
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder, "config.json")
        members = [one.entry() for one in world.backends.values()]
        config.write_text(json.dumps({
            "name": "n1", "listen": listen, "discovery": discovery, "store": {"address": relay}, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": SETTINGS,
            "known": {"revision": 1, "complete": True, "members": members}}))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {**os.environ, "ROUTER_CONFIG": str(config), "ROUTER_NAME": "n1", "ROUTER_LISTEN": listen,
                       "ROUTER_DISCOVERY": discovery, "TMPDIR": folder, "PYTHONDONTWRITEBYTECODE": "1"}
        log = open(Path(folder, "controller.log"), "w")
        controller = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log)
        try:
            return await judge(world, controller, listen)
        finally:
            controller.terminate()
            try:
                controller.wait(5)
            except subprocess.TimeoutExpired:
                controller.kill()
                controller.wait()
            log.close()
            for line in Path(folder, "controller.log").read_text().splitlines()[-20:]:
                record.write(f"controller: {line}\n")


async def judge(world, controller, listen):
    if not await wait_ready(listen):
        print("the controller is not ready")
        return 2
    world.log("ready")
    tasks = [asyncio.ensure_future(world.run_proxy(proxy)) for proxy in world.proxies]
    tasks += [asyncio.ensure_future(world.run_collector(listen, zone, 2.0, "tile-fetch")) for zone in ZONES]
    await asyncio.sleep(SETTLE_S)
    unbound = sum(proxy.table is None for proxy in world.proxies)
    world.log("settled", unbound=unbound, tables=len(world.relay.tables), calls=world.relay.calls, requests=world.arrivals)
    if unbound:
        print(f"{unbound} proxies are not bound")
        return 2
    old = list(world.backends.values())
    await drain(world, old.pop())  # with and without the disruption: one drain alone
    await asyncio.sleep(CONTROL_S - DRAIN_S)
    if TROUBLE:
        for number, backend in enumerate(old[:REPLACED]):
            tasks.append(asyncio.ensure_future(replace(world, backend, number)))
            await asyncio.sleep(WITHIN_S / REPLACED)
    await asyncio.sleep(AFTER_S)
    for task in tasks:
        task.cancel()
    return verdict(world, controller)


def verdict(world, controller):
    if controller.poll() is not None:
        print(f"the controller ended by itself, code {controller.returncode}")
        return 1
    told = {}
    for (name, phase), when in world.discovery.told.items():
        if phase != "ready":
            told[name] = min(when, told.get(name, when))
    late = [one for one in world.attempts if one[2] in told and one[0] > told[one[2]] + GRACE_S + SLACK_S]
    for sent, proxy, name, outcome in sorted(late):
        world.log("LATE", sent=f"{sent - world.began:.3f}", proxy=proxy, backend=name,
                  after_told=f"{sent - told[name]:.2f}", outcome=f"'{outcome}'")
    most = max(most_in_window(proxy.written, WINDOW_S) for proxy in world.proxies)
    world.log("end", tries=len(world.attempts), outcomes=world.outcomes, drained=len(told), late=len(late),
              most_messages_in_10s=most, unknown_orders=len(world.relay.unknown))
    names = {one[2] for one in late}
    worst = max((one[0] - told[one[2]] for one in late), default=0)
    gone = sum(one[3] != "answered" for one in late)
    print(f"{len(told)} backends drained; {len(late)} of {len(world.attempts)} tries were sent to {len(names)} of them more than "
          f"{GRACE_S + SLACK_S} s after the controller was told, the latest {worst:.2f} s after; {gone} of these met a server "
          f"that had ended; requests: {world.outcomes}; at most {most} messages to a proxy within {WINDOW_S:.0f} s")
    return 1 if late else 0


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with open(HERE / "record.txt", "w") as record:
        code = asyncio.run(play(record))
    print({0: "held", 1: "BROKEN", 2: "could not run"}[code])
    return code


sys.exit(main())
