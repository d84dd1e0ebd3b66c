"""The module at the size of a whole fleet, against a stand-in of the relay's channel: paced, in order, one message a proxy."""
import unittest
from collections import defaultdict, deque
from unittest import mock

from embertray import interface as i
from embertray.choice import Channel, Controller, Planner

MS, S = 10**6, 10**9


class Fleet:
    """One controller, its channel at the told pace, and proxies that apply messages and answer marks. Bound proxies hold
    their table's lines; loose ones what they brought. `late`: (proxy, backend) still held past the grace; `bare`: ns."""

    def __init__(self, backends, proxies, zones=2, seed=1, **site):
        self.zones = [i.Zone(f"zone-{k}") for k in range(zones)]
        self.bes = [i.Backend(f"be-{k}") for k in range(backends)]
        self.pxs = [i.Proxy(k) for k in range(proxies)]
        kinds = [i.ReqKind(800 * MS, 2 * S), i.ReqKind(S, 3 * S, 2.0, "non-replayable")]
        given = dict(controllers=5, proxies=proxies, throttle="share", pick="two", bare_limit=15 * S, head=6.0, way_mean=180 * MS,
                     channel_rate=3 * proxies, pending_max=24 * proxies, way_max=450 * MS, messages_max=20,
                     messages_window=10 * S, report_cycle=2 * S, cold_from=0.2, warm_after=10 * S, fall_multiple=4.0,
                     fall_after=3 * S, drain_grace=9500 * MS, cross_fee=0.01) | site
        self.site, self.now, self.todo, self.channel = i.Deployment(kinds, self.zones, **given), 10 * S, [], deque()
        self.module = Controller(seed, self.site, self.now)
        self.state, self.told, self.held, self.bound, self.since = {}, {}, defaultdict(dict), {}, {}
        self.tables, self.free_at, self.most, self.late, self.bare = defaultdict(dict), 0, 0.0, {}, {}
        self.written = defaultdict(list)
        self.list("cached", self.bes, "ready")

    def list(self, how, bes, state, started=0):
        entries = [i.Entry(be, self.zones[int(be.door[3:]) % len(self.zones)], state, started) for be in bes]
        self.state.update((be, state) for be in bes)
        self.told.update((be, self.now) for be in bes if state != "ready" and be not in self.told)
        self.todo.append(i.ListNews(how, entries))

    def join(self, pxs, holds):
        for px in pxs:
            self.held[px], self.since[px] = dict.fromkeys(holds(px), 1.0), self.now
            self.todo.append(i.Joined(px, self.zones[px.door % len(self.zones)], 1.0, True))

    def run(self, until, beat=100 * MS):
        while self.now < until:
            self.now += beat
            self.deliver()
            todo, self.todo = self.todo, []
            self.send(self.module.step(self.now, todo))
            self.judge()

    def deliver(self):
        while self.channel and self.channel[0][0] <= self.now:
            _, px, change, mark, sent = self.channel.popleft()
            for be, weight in change.items():
                if be is None:
                    self.held[px] = dict(weight)
                elif weight:
                    self.held[px][be] = weight
                else:
                    self.held[px].pop(be, None)
            if mark:
                self.todo.append(i.Answered(px, mark, self.now - sent))

    def send(self, orders):
        """Orders of a step become one message a proxy; they leave the channel at its pace, in order."""
        messages, cost, mark = defaultdict(dict), defaultdict(float), None
        users = defaultdict(list)
        for px, table in self.bound.items():
            users[table].append(px)
        for one in orders:
            if isinstance(one, (i.SetLine, i.SetLevel)):
                for px in users[one.table]:
                    cost[px] += 1
                    if isinstance(one, i.SetLine):
                        messages[px][one.backend] = one.weight
                if isinstance(one, i.SetLine):
                    self.tables[one.table][one.backend] = one.weight
            elif isinstance(one, i.Bind):
                self.bound[one.proxy] = one.table
                lines = {be: w for be, w in self.tables[one.table].items() if w}
                messages[one.proxy], cost[one.proxy] = {None: lines}, 3 + len(lines)
            elif isinstance(one, i.Withdraw):
                for px in self.since:
                    if self.held[px].get(one.backend):
                        messages[px][one.backend], cost[px] = 0, cost[px] + 1
            elif isinstance(one, i.PutMark):
                mark = one.mark
        for px in cost:
            self.free_at = max(self.free_at, self.now) + int((cost[px] + self.site.head + 1) * S / self.site.channel_rate)
            self.written[px].append(self.free_at)
            self.channel.append((self.free_at + self.site.way_mean, px, messages[px], mark, self.now))
        self.most = max(self.most, (self.free_at - self.now) * self.site.channel_rate / S)

    def judge(self):
        grace = self.site.drain_grace + 300 * MS
        for px, since in self.since.items():
            gone = [be for be in self.held[px] if be in self.told]
            for be in gone:
                if self.now > max(self.told[be], since) + grace:
                    self.late[px, be] = self.now
            if len(gone) == len(self.held[px]):
                self.bare[px] = self.bare.get(px, 0) + 100 * MS


def crowd(proxies, **site):
    """All proxies come within half a second, each with lines of a fifth of the list; 120 of 200 backends leave in three
    waves, and as many cold ones come."""
    fleet = Fleet(200, proxies, **site)
    fleet.run(11 * S)
    for part in range(4):
        fleet.join(fleet.pxs[part::4], lambda px: fleet.bes[px.door % 5 * 40:][:40])
        fleet.run(fleet.now + 100 * MS)
    for wave in range(3):
        fleet.run(fleet.now + 1500 * MS)
        fleet.list("changes", fleet.bes[wave * 40:][:40], "draining")
        new = [i.Backend(f"be-{1000 + wave * 40 + k}") for k in range(40)]
        fleet.list("changes", new, "ready", fleet.now)
    fleet.run(fleet.now + 14 * S)
    return fleet


class Crowd(unittest.TestCase):
    def test_all_come_with_removals_and_all_are_out_in_time(self):
        fleet = crowd(1600)
        self.assertEqual(len(fleet.late), 0, "lines held past the grace")
        self.assertEqual(len(fleet.bound), 1600)
        self.assertLessEqual(fleet.most, fleet.site.pending_max)
        self.assertLess(max(fleet.bare.values(), default=0), fleet.site.bare_limit)
        self.assertLess(len(set(fleet.bound.values())), 1600 / 5)      # shared tables still

    def test_whole_tables_are_not_in_time(self):
        """The stand-in tells a controller that fails: one whose tables all hold the whole list."""
        with mock.patch.object(Channel, "part", lambda self: 0):
            self.assertGreater(len(crowd(400).late), 1000)

    def test_messages_are_counted_as_written_when_the_channel_lags(self):
        fleet = Fleet(6, 20, channel_rate=5000.0, pending_max=10**6, messages_max=8)
        fleet.run(10500 * MS)
        fleet.join(fleet.pxs, lambda px: fleet.bes[:5])
        fleet.run(12 * S)
        fleet.free_at = fleet.now + 9 * S           # the channel stands still, then writes what has waited at once
        for second in range(25):
            fleet.list("changes", [fleet.bes[second % 6 - 1]], "ready", 1)
            fleet.list("changes", [fleet.bes[second % 6]], "draining")
            fleet.run(fleet.now + S)
        for times in fleet.written.values():
            most = max(sum(at - 10 * S < t <= at for t in times) for at in times)
            self.assertLessEqual(most, fleet.site.messages_max)

    def test_joins_between_beats_solve_nothing(self):
        fleet = Fleet(30, 100, pending_max=10**5)
        fleet.run(11 * S)
        with mock.patch.object(Planner, "on_solve", autospec=True, side_effect=Planner.on_solve) as solves:
            for px in fleet.pxs:
                fleet.join([px], lambda px: fleet.bes[:5])
                fleet.run(fleet.now + 10 * MS, 10 * MS)
        self.assertEqual(len(fleet.bound), 100)
        self.assertLessEqual(solves.call_count, 5)      # a second of joins: four beats and one

    def test_where_the_channel_can_bring_them_tables_are_whole(self):
        fleet = Fleet(30, 100, channel_rate=5000.0, pending_max=5000.0)
        fleet.run(10500 * MS)
        fleet.join(fleet.pxs, lambda px: fleet.bes[:5])
        fleet.run(14 * S)
        self.assertTrue(all(len(fleet.held[px]) == 30 for px in fleet.pxs))
        self.assertEqual(len(set(fleet.bound.values())), 2)


if __name__ == "__main__":
    unittest.main()
