"""The control element of a site: schema, loader, and the choice of the replicas that a controller follows."""

import tempfile
import unittest
from collections import Counter
from pathlib import Path

from hypothesis import given, settings, strategies as st

from embertray.service.site import SiteError, load
from embertray.service.site.control import REPLICAS_PER_CONTROLLER, SiteReplica, replica_order
from embertray.service.site.schema import SITE_FOLDER

SAMPLE = (SITE_FOLDER / "samples" / "pushed.xml").read_text()
CONTROL = """
  <control keep="/var/lib/control">
    <replica name="k1" region="east" address="127.0.0.1:7201" listen="127.0.0.1:7301"
             admin="127.0.0.1:7401" keep="/k1"/>
    <replica name="k2" region="east" address="127.0.0.1:7202" listen="127.0.0.1:7302"
             admin="127.0.0.1:7402" keep="/k2"/>
    <replica name="k3" region="west" address="127.0.0.1:7203" listen="127.0.0.1:7303"
             admin="127.0.0.1:0" keep="/k3"/>
  </control>
  <controllers>"""
WITH_CONTROL = SAMPLE.replace("  <controllers>", CONTROL.strip("\n"), 1)


def load_text(text):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "site.xml"
        path.write_text(text)
        return load(path)


def replicas(regions):
    """Returns one replica for each region, in order."""
    return [SiteReplica(f"k{n}", region, "", "", "", "") for n, region in enumerate(regions)]


class ControlElement(unittest.TestCase):
    def test_a_control_plane_is_read(self):
        site = load_text(WITH_CONTROL.replace('zone="north" listen', 'zone="north" region="west" listen', 1))
        control = site.control
        self.assertEqual((control.cluster, control.bytes_per_second), ("pushed", 4_000))
        self.assertEqual(control.keep, "/var/lib/control")
        self.assertEqual(
            control.replica("k2"),
            SiteReplica("k2", "east", "127.0.0.1:7202", "127.0.0.1:7302", "127.0.0.1:7402", "/k2"),
        )
        self.assertEqual([controller.region for controller in site.controllers], ["west", ""])
        followed = control.followed_by(site.controllers[0])
        self.assertEqual((followed[0].name, len(followed)), ("k3", 3))
        with self.assertRaisesRegex(SiteError, "no replica 'k9' .there are k1, k2, k3"):
            control.replica("k9")

    def test_a_site_without_control_has_none(self):
        site = load_text(SAMPLE)
        self.assertIsNone(site.control)
        self.assertEqual({controller.region for controller in site.controllers}, {""})

    def test_sizes_have_a_unit_down_to_bytes(self):
        for text, size in (("1000B", 1_000), ("4KiB", 4_096), ("1MiB", 1 << 20)):
            site = WITH_CONTROL.replace("<control ", f'<control bytes-per-second="{text}" ', 1)
            self.assertEqual(load_text(site).control.bytes_per_second, size)

    def test_errors_name_the_line_and_what_was_expected(self):
        for old, new, expected in (
            ("<control ", '<control bytes-per-second="4000" ', ("4000B",)),
            ("<control ", '<control bytes-per-second="999B" ', ("1000B at least",)),
            ('address="127.0.0.1:7201"', 'address="10.0.0.1:7201"', ("loopback",)),
            ('address="127.0.0.1:7202"', 'address="127.0.0.1:7201"', ("taken by line",)),
            ('admin="127.0.0.1:7401"', 'admin="127.0.0.1:7301"', ("taken by line",)),
            ('listen="127.0.0.1:7001"', 'listen="127.0.0.1:7201"', ("taken by line",)),
            ('address="127.0.0.1:7201"', 'address="127.0.0.1:0"', ("k1", "a port that others know")),
            ('listen="127.0.0.1:7301"', 'listen="127.0.0.1:0"', ("k1", "a port that others know")),
            ('keep="/k2"', 'keep="/k1"', ("k2", "a folder of its own")),
            ('keep="/k2"', 'keep=""', ("k2", "a folder of its own")),
            (' keep="/k2"', "", ("keep",)),
            ('name="k2"', 'name="k1"', ("k1",)),
            ('region="west"', 'region="west side"', ("a name of letters",)),
            ('region="west" ', "", ("region",)),
        ):
            with self.subTest(new=new):
                with self.assertRaises(SiteError) as caught:
                    load_text(WITH_CONTROL.replace(old, new, 1))
                for part in ("site.xml:", *expected):
                    self.assertIn(part, str(caught.exception))

    def test_one_to_sixteen_replicas_are_accepted(self):
        def site_text(count):
            rows = "".join(
                f'<replica name="k{n}" region="east" address="127.0.0.1:{8000 + n}" '
                f'listen="127.0.0.1:{8100 + n}" admin="127.0.0.1:0" keep="/k{n}"/>'
                for n in range(count)
            )
            return SAMPLE.replace("  <controllers>", f"<control>{rows}</control><controllers>", 1)

        self.assertEqual(len(load_text(site_text(16)).control.replicas), 16)
        for count in (0, 17):
            with self.assertRaisesRegex(SiteError, "site.xml"):
                load_text(site_text(count))

    def test_at_most_4096_controllers_are_accepted(self):
        def site_text(count):
            head, rest = SAMPLE.split("<controllers>")
            tail = rest.split("</controllers>")[1]
            rows = "".join(
                f'<controller name="c{n}" zone="north" listen="127.0.0.1:{10_000 + 2 * n}" '
                f'admin="127.0.0.1:{10_001 + 2 * n}"/>'
                for n in range(count)
            )
            return f"{head}<controllers>{rows}</controllers>{tail}"

        self.assertEqual(len(load_text(site_text(4096)).controllers), 4096)
        with self.assertRaisesRegex(SiteError, "site.xml"):
            load_text(site_text(4097))


class ReplicaOrder(unittest.TestCase):
    def test_replicas_of_the_region_come_first_then_other_regions(self):
        eight_replicas = replicas(["a", "a", "b", "b", "c", "d", "e", "f"])
        for number in range(100):
            order = replica_order(f"c{number}", "a", eight_replicas)
            self.assertEqual([replica.region == "a" for replica in order], [True, True, False])
            order = replica_order(f"c{number}", "c", eight_replicas)
            self.assertEqual([replica.region == "c" for replica in order], [True, False, False])
            self.assertEqual(len({replica.region for replica in order}), 3)

    def test_a_region_with_many_replicas_still_has_one_elsewhere(self):
        order = replica_order("c1", "a", replicas(["a"] * 5 + ["b"]))
        self.assertEqual([replica.region for replica in order], ["a", "a", "b"])
        order = replica_order("c1", "a", replicas(["a"] * 5))
        self.assertEqual([replica.region for replica in order], ["a"] * 3)

    def test_controllers_spread_over_the_replicas(self):
        eight_replicas = replicas(["a", "a", "b", "b", "c", "d", "e", "f"])
        first = Counter(replica_order(f"c{n}", "a", eight_replicas)[0].name for n in range(470))
        self.assertEqual(set(first), {"k0", "k1"})
        self.assertLess(max(first.values()), 1.25 * 470 / 2)
        without_region = Counter(replica_order(f"c{n}", "", eight_replicas)[0].name for n in range(4_000))
        self.assertEqual(len(without_region), 8)
        self.assertLess(max(without_region.values()), 1.25 * 4_000 / 8)

    def test_a_removed_replica_moves_only_its_own_controllers(self):
        eight_replicas = replicas(["a", "a", "a", "b", "b", "b", "c", "c"])
        for number in range(200):
            before = replica_order(f"c{number}", "a", eight_replicas)[0]
            after = replica_order(
                f"c{number}", "a", [replica for replica in eight_replicas if replica.name != "k1"]
            )[0]
            if before.name != "k1":
                self.assertEqual(after, before)

    @given(
        st.lists(st.sampled_from("abcd"), min_size=1, max_size=16),
        st.sampled_from("abcde"),
        st.integers(0, 99),
    )
    @settings(deadline=None)
    def test_the_order_keeps_its_rules_for_any_regions(self, regions, region, number):
        given_replicas = replicas(regions)
        order = replica_order(f"c{number}", region, given_replicas)
        self.assertEqual(len(order), min(REPLICAS_PER_CONTROLLER, len(given_replicas)))
        self.assertEqual(len({replica.name for replica in order}), len(order))
        self.assertEqual(order, replica_order(f"c{number}", region, given_replicas[::-1]))
        if region in regions:
            self.assertEqual(order[0].region, region)
        if len(set(regions)) > 1 and len(order) == REPLICAS_PER_CONTROLLER:
            self.assertGreater(len({replica.region for replica in order}), 1)


if __name__ == "__main__":
    unittest.main()
