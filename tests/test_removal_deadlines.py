"""Tests that removals keep the drain grace within the limit on messages, for releases of any shape.

The releases are played in virtual time against a stand-in of the relay's channel.
"""

import random
import unittest
from collections import Counter

from embertray.policy import Controller, interface as i
from embertray.simulation.standins.fleet import Fleet

MS, S = 10**6, 10**9
STEP = 50 * MS  # between two steps of the fleet
REPORTED_LATENCY = 250 * MS
ACKNOWLEDGED_WITHIN = 3 * S  # a message counts until it is acknowledged or its acknowledgement is given up
HEAD = 6.0  # lines that a message costs beyond its own
SEEDS = range(60)


class UnreliableFleet(Fleet):
    """A fleet some of whose proxies reconnect, and some of whose acknowledgements are lost.

    Attributes:
        silent: Proxies whose acknowledgements are lost.
        sent_on_stream: Lists of the times at which the messages of one stream left, ns.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.silent = set()
        self.sent_on_stream = []

    def deliver(self):
        super().deliver()
        self.pending_events = [
            event
            for event in self.pending_events
            if not (isinstance(event, i.NonceAcknowledged) and event.proxy in self.silent)
        ]

    def reconnect(self, proxy):
        """Closes a proxy's stream, whose messages in flight are lost, and opens a new one."""
        self.bound.pop(proxy, None)
        updates = self.channel.updates
        for update in [update for update in updates if update.proxy is proxy]:
            updates.remove(update)
        self.sent_on_stream.append(self.channel.sent_at.pop(proxy, []))
        self.pending_events.append(i.ProxyLeft(proxy))
        lines = list(self.lines[proxy])
        self.join([proxy], lambda proxy: lines)

    def most_in_window(self):
        """Returns the most messages of one stream that left within any span of the window."""
        window = self.deployment.messages_window
        streams = [*self.sent_on_stream, *self.channel.sent_at.values()]
        return max(sum(at - window < time <= at for time in times) for times in streams for at in times)


class Release:
    """A fleet whose backends are replaced one after the other, drawn from a seed.

    Drawn are zones, backends, proxies, whether tables are subsets, the message limit, its window, the drain
    grace, the channel's delay, how many backends are replaced at which pace, which messages the window holds
    before, and which proxies reconnect or lose acknowledgements.

    Attributes:
        fleet: The `UnreliableFleet`.
        replaced_max: Largest number of backends that may be replaced.
        has_slow_channel: Whether the channel is too slow for large tables.
    """

    def __init__(self, seed):
        self.rng = rng = random.Random(seed)
        grace = rng.randint(2000, 6000) * MS
        window = rng.randint(4, 14) * S
        delay = rng.randint(20, 300) * MS
        self.has_slow_channel = rng.random() < 0.4  # tables are subsets then, if the list is long
        proxies = rng.randint(40, 120) if self.has_slow_channel else rng.randint(10, 60)
        # the limit permits a message in each grace, less the channel's delay and time to deliver
        needed = -(-(window + ACKNOWLEDGED_WITHIN) // (grace - delay - S))
        rate = proxies * S / grace * rng.uniform(64, 96) if self.has_slow_channel else 10_000.0
        backends = rng.randint(24, 48)
        # the channel has to deliver the lines of a release within the grace: those of subsets take half of it
        self.replaced_max = backends // 3 if self.has_slow_channel else backends * 2 // 3
        self.fleet = UnreliableFleet(
            Controller,
            backends,
            proxies,
            zones=rng.randint(1, 3),
            seed=seed,
            controllers=1,
            drain_grace=grace,
            channel_delay_mean=delay,
            channel_delay_max=delay,
            channel_rate=rate,
            pending_max=max(rate, 2.0 * proxies * (HEAD + self.replaced_max)),
            head=HEAD,
            messages_max=needed + 1 + rng.randint(0, 10),
            messages_window=window,
        )
        self.backend_number = 1000

    def join(self):
        """Lets all proxies join, with a third of the backends in the tables that they hold."""
        fleet = self.fleet
        fleet.run(fleet.now + S, STEP)
        fleet.join(fleet.proxies, lambda proxy: fleet.backends[proxy.external_id % 3 :: 3])

    def play(self):
        """Plays the release to its end, and until the messages of its last removal have arrived."""
        fleet, rng = self.fleet, self.rng
        self.join()
        self.run(rng.uniform(3, 16))
        if rng.random() < 0.4:
            fleet.silent = set(rng.sample(fleet.proxies, 2))
        old = list(fleet.backends)
        self.use_window(rng.randint(0, 25), flapping=True)
        rng.shuffle(old)
        pause = rng.choice((0.03, 0.15, 0.26, 0.26, 0.5, 1.0))
        reconnects = rng.choice((0, 0, 0.1))
        for backend in old[: rng.randint(8, self.replaced_max)]:
            fleet.change_list("changes", [backend], rng.choice(("draining", "gone")))
            self._start_backend()
            if rng.random() < reconnects:
                fleet.reconnect(rng.choice(fleet.proxies))
            self.run(pause * rng.uniform(0.5, 1.5))
        fleet.silent = set()
        self.run(fleet.deployment.drain_grace / S + 2)

    def use_window(self, changes, flapping):
        """Changes the list some times: backends start, whose weights grow from then on.

        Args:
            changes: how often the list is changed.
            flapping: whether some changes are of a backend that drains for a moment.
        """
        for _ in range(changes):
            if not flapping or self.rng.random() < 0.5:
                self._start_backend()
            else:
                backend = self.rng.choice(self.fleet.backends)
                self.fleet.change_list("changes", [backend], "draining")
                self.run(0.1)
                self.fleet.change_list("changes", [backend], "ready", self.fleet.now)
                self.fleet.removed_at.pop(backend)
            self.run(self.rng.uniform(0.05, 0.4))

    def _start_backend(self):
        self.backend_number += 1
        backend = i.Backend(f"be-{self.backend_number}")
        self.fleet.change_list("changes", [backend], "ready", self.fleet.now)

    def run(self, seconds):
        """Runs the fleet, with reports on all backends each second."""
        fleet = self.fleet
        until = fleet.now + int(seconds * S)
        while fleet.now < until:
            if fleet.now // S != (fleet.now - STEP) // S:
                for number, backend in enumerate(fleet.backends):
                    latency = int(REPORTED_LATENCY * self.rng.uniform(0.5, 2.5))
                    zone = fleet.zones[number % len(fleet.zones)]
                    fleet.pending_events.append(i.BackendReport(backend, zone, 10, 0, latency, S, {}))
            fleet.run(fleet.now + STEP, STEP)


class RemovalDeadlines(unittest.TestCase):
    def test_a_release_keeps_the_drain_grace_within_the_message_limit(self):
        """Guards against removals that wait for the window because earlier messages used up the limit."""
        covered = Counter()
        for seed in SEEDS:
            with self.subTest(seed=seed):
                release = Release(seed)
                release.play()
                fleet = release.fleet
                most = fleet.most_in_window()
                covered["subsets"] += fleet.policy.publisher.tables.are_subsets
                covered["limit nearly reached"] += most >= fleet.deployment.messages_max - 2
                late = {
                    (proxy.external_id, backend.external_id): at / S
                    for (proxy, backend), at in fleet.overdue.items()
                }
                self.assertEqual(late, {}, "lines held past the grace")
                self.assertEqual(set(fleet.bound), set(fleet.proxies))
                self.assertLessEqual(most, fleet.deployment.messages_max)
        self.assertGreater(covered["subsets"], 5)
        self.assertGreater(covered["limit nearly reached"], 20)

    def test_a_lone_removal_is_sent_at_once(self):
        """Guards against gathering removals where nothing but other messages has used up the limit."""
        for seed in SEEDS[::2]:
            with self.subTest(seed=seed):
                release = Release(seed)
                fleet = release.fleet
                release.join()
                release.run(5 + fleet.deployment.messages_window / S)
                release.use_window(release.rng.randint(0, 25), flapping=False)
                drained = fleet.backends[0]
                fleet.change_list("changes", [drained], "draining")
                fleet.run(fleet.now + STEP, STEP)
                holding = [table for table, lines in fleet.tables.items() if lines.get(drained)]
                self.assertEqual(holding, [], "tables whose line was not removed in the step")

    def test_a_table_at_the_limit_does_not_hold_back_other_tables(self):
        """Guards against a proxy at its limit that delays the removals of all tables."""
        fleet = Fleet(Controller, 12, 8, zones=2, channel_rate=5000.0, pending_max=5000.0)
        fleet.run(fleet.now + S)
        fleet.join(fleet.proxies, lambda proxy: fleet.backends[:5])
        fleet.run(fleet.now + 20 * S)
        fleet.policy.proxies[0].messages.write_times.extend([fleet.now] * fleet.deployment.messages_max)
        fleet.change_list("changes", [fleet.backends[3]], "draining")
        fleet.run(fleet.now + STEP, STEP)
        holding = [table for table, lines in fleet.tables.items() if lines.get(fleet.backends[3])]
        self.assertEqual(holding, [fleet.bound[fleet.proxies[0]]])


if __name__ == "__main__":
    unittest.main()
