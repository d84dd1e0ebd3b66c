"""Tests of the platform's controller: its configuration, the service against stand-ins on loopback, and the
controller process.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import unittest
from contextlib import ExitStack, contextmanager
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

import anyio
import structlog
from platform_fixtures import (
    EXPECTED_REPORTS,
    HERE,
    JOIN_LINE,
    SETTINGS,
    S,
    configuration_json,
    connect_client,
    endpoint_fields,
    running_service,
)

from embertray.common.net.address import parse_address
from embertray.common.net.exceptions import AddressError
from embertray.common.net.tcp import TcpNet
from embertray.controller.exceptions import SettingsError
from embertray.controller.identifiers import Identifiers
from embertray.controller.settings import StartSettings
from embertray.platform.protocol import limits
from embertray.platform.protocol.configuration import read_configuration
from embertray.platform.protocol.event_stream import ProxyJoined
from embertray.platform.protocol.exceptions import ConfigurationError
from embertray.platform.protocol.platform_controller import PlatformController
from embertray.platform.protocol.wire import HEARTBEAT_REPLY
from embertray.simulation.standins.discovery import StandinDiscovery
from embertray.simulation.standins.relay import StandinRelay


class Configuration(unittest.TestCase):
    def test_nested_and_flat_settings_give_the_same(self):
        pairs = {
            "az": "north",
            "balancers": "1",
            "discovery": "push",
            "feedback.fields": "waiting,avg_ms",
            "zones": "north,south",
            "profiles.count": "2",
        }
        for part in ("contract", "specifics"):
            pairs.update({f"{part}.{k}": str(v) for k, v in SETTINGS[part].items()})
        for k, kind in enumerate(SETTINGS["profiles"]):
            pairs.update({f"profiles.{k}.{name}": str(v) for name, v in kind.items()})
        from_nested, from_pairs = (
            vars(start.deployment(Identifiers()))
            for start in (StartSettings.from_nested(SETTINGS), StartSettings(pairs))
        )
        for values in (from_nested, from_pairs):
            values["kinds"] = [vars(kind) for kind in values["kinds"]]
            values["zones"], values["home"] = (
                [zone.external_id for zone in values["zones"]],
                values["home"].external_id,
            )
        self.assertEqual(from_nested, from_pairs)
        self.assertEqual(
            (from_nested["drain_grace"], from_nested["throttle"], len(from_nested["kinds"])),
            (3 * S, "share", 2),
        )

    def test_invalid_values_are_reported(self):
        with self.assertRaisesRegex(SettingsError, "'x' is not a valid value for specifics.agents"):
            StartSettings({"specifics.agents": "x"})
        for data in (
            b"",
            b"{",
            b"[]",
            b'{"name":"n1"}',
            configuration_json().replace(b'"listen"', b'"l"'),
            b"\xff",
        ):
            with self.assertRaises(ConfigurationError):
                read_configuration(data)
        for address in ("host:80", "10.0.0.4", "10.0.0.4:99999", "10.0.0.4:-1"):
            with self.assertRaises(AddressError):
                parse_address(address)
        self.assertEqual(parse_address("10.0.0.4:8000"), ("10.0.0.4", 8000))

    def test_an_undecodable_known_list_is_treated_as_empty(self):
        for known in (
            {"revision": "x"},
            {"members": [{"id": "be-1", "phase": "new"}]},
            [],
            None,
            {"members": None},
        ):
            start = read_configuration(configuration_json(known=known))
            self.assertEqual(
                (PlatformController(start, 0, 0).state, start.known_list().revision), ({}, 0), known
            )
        self.assertEqual(
            PlatformController(read_configuration(configuration_json()), 0, 0).state,
            {"be-1": "ready", "be-2": "ready"},
        )

    def test_pending_reports_are_bounded_while_no_call_succeeds(self):
        controller = PlatformController(read_configuration(configuration_json()), 0, 0)
        self.assertTrue(controller.advance(0))  # the first tables are queued; there is no relay
        before = len(controller.pending_events)
        controller.add_proxy_events([ProxyJoined(1, "north", 1.0, True)])
        for _ in range(3 * limits.PENDING_EVENTS_MAX):
            controller.add_reports(EXPECTED_REPORTS[:1])
            self.assertLessEqual(len(controller.pending_events), limits.PENDING_EVENTS_MAX + 1)
        self.assertEqual(
            controller.dropped_reports + len(controller.pending_events) - before,
            3 * limits.PENDING_EVENTS_MAX + 1,
        )
        self.assertIn("ProxyJoined", [type(event).__name__ for event in controller.pending_events])

    def test_the_controller_process_does_not_import_unused_packages(self):
        code = (
            "import sys; import embertray.platform.run.service, embertray.common.logs; print([m for m in "
            "sys.modules if m.split('.')[0] in "
            "('numpy', 'lxml', 'matplotlib', 'lark', 'zstandard', 'click', 'xxhash') or "
            "m.startswith(('embertray.service.daemon', "
            "'embertray.service.admin', 'embertray.common.memory', 'embertray.common.snapshots', "
            "'embertray.controller.trust', "
            "'embertray.controller.core', 'embertray.simulation.standins', "
            "'embertray.cluster', 'embertray.cluster.limits', 'embertray.estimate', "
            "'embertray.simulation.processes', "
            "'embertray.simulation.emulator'))])"
        )
        self.assertEqual(
            subprocess.run(
                [sys.executable, "-c", code], capture_output=True, text=True, cwd=HERE.parent
            ).stdout,
            "[]\n",
        )


class OnSockets(unittest.TestCase):
    def test_proxies_are_bound_and_a_draining_backend_is_removed_from_their_tables(self):
        async def scenario():
            async with running_service() as (_, relay, discovery):
                for node in range(3):
                    relay.attach(node, "north")
                await relay.wait_until(lambda: all("be-1" in relay.lines(node) for node in range(3)))
                discovery.change("be-1", phase="draining")
                await relay.wait_until(lambda: all(set(relay.lines(node)) == {"be-2"} for node in range(3)))

        anyio.run(scenario)

    def test_failed_or_unanswered_calls_are_eventually_executed(self):
        async def scenario():
            async with running_service() as (service, relay, discovery):
                await relay.wait_until(lambda: relay.calls)
                relay.attach(1, "north")
                await relay.wait_until(lambda: relay.lines(1))
                for fault, times in (
                    ("lose", 2),
                    ("mute", 1),
                    ("spoil", 1),
                    ("cut", 1),
                    ("stall", 1),
                    ("slow", 1),
                    ("throttled", 2),
                ):
                    relay.next_faults, name, before = [fault] * times, f"new-{fault}", len(relay.calls)
                    discovery.change(name, locality="north", up_since_ms=0)
                    await relay.wait_until(lambda: name in relay.lines(1) and not relay.next_faults)
                    # an executed call is not repeated, because its nonce is acknowledged
                    first = relay.calls[before][1]
                    repeats = sum(orders == first for _, orders in relay.calls[before + 1 :])
                    self.assertEqual(repeats, times if fault in ("lose", "throttled") else 0)
                    discovery.change(name, phase="gone")
                    await relay.wait_until(lambda: name not in relay.lines(1))
                self.assertEqual(service.controller.order_caller.orders_dropped, 0)

        anyio.run(scenario)

    def test_only_the_refused_order_is_lost_at_any_position(self):
        async def scenario():
            async with running_service() as (service, relay, discovery):
                relay.attach(1, "north")
                await relay.wait_until(lambda: relay.lines(1))
                for position in range(3):
                    names, seen = [f"new-{position}-{k}" for k in range(3)], []

                    def refuse(order):
                        if order.startswith(f"SET,{relay.bound[1]},new-"):
                            seen.append(order)
                            return len(seen) == position + 1
                        return False

                    relay.rejects = refuse
                    for name in names:
                        discovery.members[name] = endpoint_fields(name)
                        discovery.change_log.append((discovery.revision + 1, name))
                    discovery.change(names[0])
                    await relay.wait_until(
                        lambda: (
                            len(service.controller.order_caller.refused_orders) == position + 1
                            and service.controller.order_caller.idle
                            and sum(name in relay.lines(1) for name in names) == 2
                        )
                    )
                    self.assertEqual(service.controller.order_caller.refused_orders[position], seen[position])

        anyio.run(scenario)

    def test_only_the_order_that_makes_a_call_invalid_is_lost(self):
        async def scenario():
            async with running_service() as (service, relay, discovery):
                relay.attach(1, "north")
                await relay.wait_until(lambda: relay.lines(1))
                names = [f"new-{k}" for k in range(3)]
                relay.is_malformed = lambda order: ",new-1," in order
                for name in names:
                    discovery.members[name] = endpoint_fields(name)
                    discovery.change_log.append((discovery.revision + 1, name))
                with structlog.testing.capture_logs() as log_lines:
                    service.relay.log = structlog.get_logger()
                    discovery.change(names[0])
                    await relay.wait_until(lambda: {"new-0", "new-2"} <= set(relay.lines(1)))
                    while not service.controller.order_caller.orders_dropped:
                        await anyio.sleep(0.02)
                self.assertTrue(
                    any("order dropped: invalid: SET," in line.get("why", "") for line in log_lines),
                    log_lines,
                )
                relay.is_malformed = lambda order: False
                discovery.change("be-3", **endpoint_fields("be-3"))
                await relay.wait_until(lambda: "be-3" in relay.lines(1))  # later orders are executed

        anyio.run(scenario)

    def test_a_step_in_several_calls_survives_the_loss_of_any_call(self):
        async def scenario():
            with mock.patch("embertray.platform.protocol.order_caller.ORDERS_MAX_BYTES", 150):
                async with running_service() as (service, relay, _):
                    await relay.wait_until(
                        lambda: len(relay.event_queues) == limits.EVENT_STREAMS and relay.calls
                    )
                    while (
                        service.controller.policy.publisher.queue.due_at
                        or not service.controller.order_caller.idle
                    ):
                        await anyio.sleep(0.05)
                    relay.next_faults, before = (
                        ["lose", "ok", "mute", "spoil", "lose", "lose"],
                        len(relay.calls),
                    )
                    for node in range(24):
                        relay.attach(node, "north")
                    await relay.wait_until(
                        lambda: all(relay.lines(node) for node in range(24)) and not relay.next_faults
                    )
                    self.assertFalse(
                        any(order.startswith("SYNC") for order in relay.calls[before][1])
                    )  # the lost call is only a part of the step
                    self.assertEqual(
                        relay.calls[before + 1][1], relay.calls[before][1]
                    )  # it is repeated before the other parts
                    self.assertEqual(
                        (
                            service.controller.order_caller.orders_dropped,
                            service.controller.order_caller.refused_orders,
                        ),
                        (0, []),
                    )

        anyio.run(scenario)

    def test_the_controller_serves_while_discovery_is_down_and_the_relay_throttles(self):
        async def scenario():
            async with running_service(
                lambda relay, discovery: (
                    setattr(discovery, "down", True),
                    relay.next_faults.extend(["throttled"] * 9),
                )
            ) as (service, relay, _):
                peer = await connect_client(service, b'{"@type":"hb"}\n')
                self.assertEqual(await peer.receive(), HEARTBEAT_REPLY)
                relay.attach(1, "north")
                await relay.wait_until(
                    lambda: set(relay.lines(1)) == {"be-1", "be-2"}
                )  # from the endpoint list in the configuration
                self.assertEqual(relay.next_faults, [])
                await peer.aclose()

        anyio.run(scenario)

    def test_events_continue_when_a_connection_breaks(self):
        async def scenario():
            async with running_service() as (service, relay, _):
                relay.attach(1, "north")
                await relay.wait_until(
                    lambda: relay.lines(1) and len(relay.event_queues) == limits.EVENT_STREAMS
                )
                await anyio.aclose_forcefully(relay.connections[0])
                relay.attach(2, "north")
                await relay.wait_until(
                    lambda: relay.lines(2) and len(relay.event_queues) == limits.EVENT_STREAMS
                )
                self.assertEqual(set(service.controller.proxies.joined), {1, 2})

        anyio.run(scenario)

    def test_an_internal_error_in_a_step_or_a_task_is_recovered(self):
        async def scenario():
            async with running_service() as (service, relay, discovery):
                for node in range(3):
                    relay.attach(node, "north")
                await relay.wait_until(lambda: all(len(relay.lines(node)) == 2 for node in range(3)))
                old, tables = service.controller.policy, set(relay.tables)

                def fault(*_):
                    raise KeyError("a fault")

                old.weight_planner.plan = fault  # fails in the middle of a step
                discovery.change("be-3", **endpoint_fields("be-3"))
                await relay.wait_until(lambda: all(len(relay.lines(node)) == 3 for node in range(3)))
                self.assertIsNot(service.controller.policy, old)
                self.assertFalse({relay.bound[node] for node in range(3)} & tables)
                discovery.change("be-1", phase="draining")
                await relay.wait_until(
                    lambda: all(set(relay.lines(node)) == {"be-2", "be-3"} for node in range(3))
                )
                for part, name, trigger in (
                    (
                        service.controller.order_caller,
                        "on_answer",
                        lambda: discovery.change("be-4", **endpoint_fields("be-4")),
                    ),
                    (
                        service.controller.list_watch,
                        "on_answer",
                        lambda: discovery.change("be-4", **endpoint_fields("be-4")),
                    ),
                    (service.controller.proxies, "received", lambda: relay.attach(3, "south")),
                ):
                    raised = anyio.Event()

                    def once(*_, part=part, name=name, raised=raised):
                        delattr(part, name)
                        raised.set()
                        raise KeyError("a fault")

                    setattr(part, name, once)
                    trigger()
                    await raised.wait()
                await relay.wait_until(lambda: all("be-4" in relay.lines(node) for node in range(4)))

        anyio.run(scenario)

    def test_a_reloaded_configuration_changes_the_addresses(self):
        async def scenario():
            async with running_service() as (service, relay, discovery), anyio.create_task_group() as group:
                relay.attach(1, "north")
                await relay.wait_until(lambda: relay.lines(1))
                net = TcpNet()
                other_relay, other_discovery = StandinRelay(net), StandinDiscovery(net, discovery.members)
                other_relay.state = relay.state  # the same proxies and tables behind another address
                await group.start(other_relay.run)
                await group.start(other_discovery.run)
                service.load_configuration = lambda: read_configuration(b"{")
                service.reload()
                self.assertEqual(
                    service.configuration.relay.address, relay.address
                )  # an invalid file changes nothing
                service.load_configuration = lambda: read_configuration(
                    configuration_json(other_relay.address, other_discovery.address)
                )
                service.reload()
                await other_relay.wait_until(lambda: other_relay.event_queues)
                for stream in list(relay.connections):
                    await anyio.aclose_forcefully(stream)
                other_discovery.change("be-3", **endpoint_fields("be-3"))
                await other_relay.wait_until(
                    lambda: (
                        "be-3" in other_relay.lines(1)
                        and len(other_relay.event_queues) == limits.EVENT_STREAMS
                    )
                )
                group.cancel_scope.cancel()

        anyio.run(scenario)

    def test_an_internal_error_while_reloading_keeps_the_old_configuration(self):
        async def scenario():
            async with running_service() as (service, relay, discovery), anyio.create_task_group() as group:
                relay.attach(1, "north")
                await relay.wait_until(lambda: relay.lines(1))
                faults = [KeyError("a"), TypeError("b"), RecursionError("c"), MemoryError()]
                old, remaining_faults, loaded = service.configuration, list(faults), anyio.Event()

                def load():
                    loaded.set()
                    raise remaining_faults.pop(0)

                service.load_configuration = load
                with structlog.testing.capture_logs() as log_lines:
                    service.log = structlog.get_logger()
                    await group.start(
                        service.watch_hangups, SimpleNamespace(hangup_pending=True)
                    )  # the pending hangup is handled at once
                    while remaining_faults:
                        loaded = anyio.Event()
                        os.kill(os.getpid(), signal.SIGHUP)
                        await loaded.wait()
                    self.assertEqual([line["event"] for line in log_lines], ["internal error"] * len(faults))
                self.assertIs(service.configuration, old)
                discovery.change("be-3", **endpoint_fields("be-3"))
                await relay.wait_until(lambda: "be-3" in relay.lines(1))
                group.cancel_scope.cancel()

        anyio.run(scenario)

    def test_a_call_in_flight_during_an_address_change_is_executed_at_the_new_address(self):
        async def scenario():
            async with running_service() as (service, relay, discovery), anyio.create_task_group() as group:
                relay.attach(1, "north")
                await relay.wait_until(lambda: relay.lines(1))
                other_relay = StandinRelay(TcpNet())
                other_relay.state = relay.state  # the same proxies and tables behind another address
                await group.start(other_relay.run)
                for new_relay, old_relay, name in (
                    (other_relay, relay, "be-3"),
                    (relay, other_relay, "be-4"),
                ):
                    old_relay.next_faults, before = ["lose"], len(old_relay.calls)
                    discovery.change(name, **endpoint_fields(name))
                    await old_relay.wait_until(lambda: len(old_relay.calls) > before)
                    for address in (
                        old_relay.address,
                        new_relay.address,
                        old_relay.address,
                        new_relay.address,
                    ):  # the last one applies
                        service.load_configuration = lambda: read_configuration(
                            configuration_json(address, discovery.address)
                        )
                        service.reload()
                    await new_relay.wait_until(lambda: name in new_relay.lines(1))
                    for stream in list(old_relay.connections):
                        await anyio.aclose_forcefully(stream)
                    await new_relay.wait_until(lambda: len(new_relay.event_queues) == limits.EVENT_STREAMS)
                group.cancel_scope.cancel()

        anyio.run(scenario)


class UnsupportedSettings(unittest.TestCase):
    def test_slices_are_rejected_and_unsupported_permissions_ignored(self):
        def controller(**more):
            return PlatformController(
                read_configuration(configuration_json(settings={**SETTINGS, **more})), 0, 0
            )

        self.assertEqual(controller().log_texts, [])
        with self.assertRaisesRegex(SettingsError, "partitions-n: .* does not support slices"):
            controller(specifics={**SETTINGS["specifics"], "partitions-n": 8})
        messages = controller(caps={"probes": True, "peer-messages": True}).log_texts
        self.assertEqual(
            [("probes" in text, "peers" in text) for text in messages], [(True, False), (False, True)]
        )


# replaces a library: reports its import, waits for a line on standard input, then imports the real library
SLOW_IMPORT = """
import sys
print("importing", file=sys.stderr, flush=True)
sys.stdin.readline()
sys.path.remove(%r)
del sys.modules["structlog"]
import structlog
"""


class ControllerProcess(unittest.TestCase):
    @contextmanager
    def program(self, slow=False, **more):
        """Yield (process, configuration path, logged); logged(word) returns the next log line with the word.

        `slow`: its imports block until a line is written to its standard input.
        """
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "config.json")
            path.write_bytes(configuration_json(**more))
            if slow:
                Path(folder, "structlog.py").write_text(SLOW_IMPORT % folder)
            env = {**os.environ, "ROUTER_CONFIG": str(path), "PYTHONPATH": folder}
            with subprocess.Popen(
                [sys.executable, "-m", "embertray.platform.run"],
                env=env,
                cwd=HERE.parent,
                stdin=subprocess.PIPE,
                stderr=subprocess.PIPE,
                text=True,
            ) as run:

                def logged(word):
                    return next((line for line in run.stderr if word in line), "{}")

                watchdog = threading.Timer(60, run.kill)  # ends the log if an expected line is missing
                watchdog.start()
                try:
                    yield run, path, logged
                finally:
                    watchdog.cancel()
                    run.kill()

    def test_signals_reload_and_end_the_process(self):
        with self.program() as (run, path, logged):
            self.assertIn("address", json.loads(logged("listening")))
            path.write_bytes(b"{")
            run.send_signal(signal.SIGHUP)
            self.assertIn("why", json.loads(logged("can't be used")))
            run.send_signal(signal.SIGTERM)
            self.assertEqual(run.wait(timeout=20), 0)

    def test_a_reloaded_configuration_with_an_invalid_address_is_rejected(self):
        with self.program() as (run, path, logged):
            logged("listening")
            for invalid in (configuration_json(relay="nowhere"), configuration_json(discovery="10.0.0.1")):
                path.write_bytes(invalid)
                run.send_signal(signal.SIGHUP)
                self.assertIn("is not of the form address:port", json.loads(logged("can't be used"))["why"])
            # settings are only read at startup: invalid ones in a reloaded configuration are ignored
            path.write_bytes(configuration_json(relay="127.0.0.1:2", settings={"profiles": [{}, 5]}))
            run.send_signal(signal.SIGHUP)
            self.assertEqual(json.loads(logged("new configuration"))["relay"], "127.0.0.1:2")

    def test_repeated_signals_end_the_process_even_during_its_imports(self):
        for slow, log_word in ((True, "importing"), (False, "listening")):
            for end_signal in (signal.SIGTERM, signal.SIGINT):
                with self.program(slow) as (run, _, logged):
                    self.assertIn(log_word, logged(log_word))
                    run.send_signal(end_signal)
                    run.send_signal(end_signal)
                    self.assertEqual(run.wait(timeout=20), 0)
                    self.assertNotIn("Traceback", run.stderr.read())

    def test_a_hangup_during_the_imports_is_handled_later(self):
        with self.program(slow=True) as (run, _, logged):
            self.assertIn("importing", logged("importing"))
            run.send_signal(signal.SIGHUP)
            run.stdin.write("\n")
            run.stdin.flush()
            self.assertIn("discovery", json.loads(logged("new configuration")))

    def test_it_can_listen_on_the_same_address_directly_after_a_kill(self):
        with ExitStack() as resources:
            with socket.create_server(("127.0.0.1", 0)) as free_socket:
                listen = f"127.0.0.1:{free_socket.getsockname()[1]}"
            for _ in range(3):
                with self.program(listen=listen) as (run, _, logged):
                    self.assertEqual(json.loads(logged("listening"))["address"], listen)
                    peers = [
                        resources.enter_context(socket.create_connection(("127.0.0.1", int(listen[10:]))))
                        for _ in range(50)
                    ]
                    for peer in peers:
                        peer.sendall(JOIN_LINE + b'{"@type":"hb"}\n')
                    self.assertEqual({peer.recv(100) for peer in peers}, {HEARTBEAT_REPLY})
                    run.kill()
                    run.wait(timeout=20)

    def test_a_thousand_connections_are_closed_when_it_ends(self):
        with (
            self.program(limits={"cores": 1.0, "memory_mb": 64, "sockets": 4096}) as (run, _, logged),
            ExitStack() as resources,
        ):
            host, _, port = json.loads(logged("listening"))["address"].rpartition(":")
            peers = [
                resources.enter_context(socket.create_connection((host, int(port)))) for _ in range(1000)
            ]
            for peer in peers:
                peer.sendall(JOIN_LINE + b'{"@type":"hb"}\n')
            self.assertEqual({peer.recv(100) for peer in peers}, {HEARTBEAT_REPLY})
            run.send_signal(signal.SIGTERM)
            self.assertEqual(run.wait(timeout=20), 0)
            self.assertEqual({peer.recv(100) for peer in peers}, {b""})

    def test_an_invalid_configuration_is_reported_on_one_line(self):
        sliced = {**SETTINGS, "specifics": {**SETTINGS["specifics"], "partitions-n": 8}}
        for data in (
            b"{",
            configuration_json(listen="nowhere"),
            configuration_json(relay="nowhere"),
            configuration_json(discovery=":1"),
            configuration_json(settings={"specifics": {"agents": "x"}}),
            configuration_json(settings=sliced),
            configuration_json(settings={**SETTINGS, "profiles": [*SETTINGS["profiles"], 5]}),
        ):
            with tempfile.TemporaryDirectory() as folder:
                Path(folder, "c").write_bytes(data)
                done = subprocess.run(
                    [sys.executable, "-m", "embertray.platform.run"],
                    env={**os.environ, "ROUTER_CONFIG": str(Path(folder, "c"))},
                    cwd=HERE.parent,
                    capture_output=True,
                    text=True,
                    timeout=60,
                )
                self.assertEqual(
                    (done.returncode, done.stderr.count("\n"), "Traceback" in done.stderr),
                    (2, 1, False),
                    done.stderr,
                )


if __name__ == "__main__":
    unittest.main()
