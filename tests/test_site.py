"""Site descriptions: samples, errors, and values of older descriptions."""

import tempfile
import unittest
from pathlib import Path

from embertray.controller.identifiers import Identifiers
from embertray.service.site import SITE_FOLDER, SiteError, load


class SiteDescriptions(unittest.TestCase):
    def test_samples_load(self):
        sites = {p.stem: load(p) for p in (SITE_FOLDER / "samples").glob("*.xml")}
        self.assertEqual(sorted(sites), ["asked", "pushed", "sealed"])
        self.assertEqual(
            (sites["asked"].ask, sites["pushed"].levels, sites["sealed"].messages_max), (True, "rate", 20)
        )
        deployment = sites["sealed"].deployment(sites["sealed"].controllers[0], Identifiers())
        self.assertEqual(deployment.kinds[1].again, "non-replayable")
        self.assertEqual(sites["asked"].kinds[1].again, "deduplicated")

    def test_errors_name_the_line_and_what_was_expected(self):
        good = (SITE_FOLDER / "samples" / "pushed.xml").read_text()
        for old, new, expected in (
            ('"800ms"', '"800"', ("time", ":6:")),
            ('zone="north" listen', 'zone="moon" listen', ("moon",)),
            ("127.0.0.1:7001", "10.0.0.1:7001", ("address",)),
            ("</zones>", "", ("not well-formed",)),
            ('picks="round"', 'picks="best"', ("best",)),
            ("127.0.0.1:7002", "127.0.0.1:7001", ("taken",)),
            ('response-target="800ms"', 'response-target="9s"', ("under",)),
            ('"127.0.0.1:7100"', '"127.0.0.1:99999"', ("99999",)),
        ):
            with self.subTest(new=new), tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "site.xml"
                path.write_text(good.replace(old, new, 1))
                with self.assertRaises(SiteError) as caught:
                    load(path)
                for part in ("site.xml:", *expected):
                    self.assertIn(part, str(caught.exception))

    def test_uniqued_is_read_as_deduplicated(self):
        text = (SITE_FOLDER / "samples" / "asked.xml").read_text()
        self.assertIn('"deduplicated"', text)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "site.xml")
            path.write_text(text.replace('"deduplicated"', '"uniqued"'))
            self.assertEqual(load(path).kinds[1].again, "deduplicated")


if __name__ == "__main__":
    unittest.main()
