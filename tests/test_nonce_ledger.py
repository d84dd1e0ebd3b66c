"""The nonce ledger: nonces are acknowledged in order and removed with their last acknowledgement."""

import unittest

from embertray.controller.channel.timeouts import NONCE_TIMEOUT_NS
from embertray.controller.core.nonce_ledger import NonceLedger
from embertray.controller.identifiers import Identifiers
from embertray.policy import interface as i


class NonceLedgerTests(unittest.TestCase):
    def setUp(self):
        self.identifiers = Identifiers()
        self.ledger = NonceLedger(self.identifiers)
        self.nonces = [i.Nonce() for _ in range(3)]
        self.ids = [self.identifiers.nonce_id(nonce) for nonce in self.nonces]
        for name in ("p", "q"):
            self.ledger.proxy_joined(name)
            for position, nonce_id in enumerate(self.ids):
                self.ledger.record_sent(position, name, nonce_id)

    def test_an_acknowledgement_covers_all_earlier_nonces(self):
        acknowledged = self.ledger.acknowledge(10, "p", self.ids[1])
        self.assertEqual((acknowledged.nonce, acknowledged.elapsed), (self.nonces[1], 9))
        self.assertEqual(list(self.ledger.by_proxy["p"]), [self.ids[2]])
        self.assertIsNone(self.ledger.acknowledge(11, "p", self.ids[0]))
        self.assertIsNone(self.ledger.acknowledge(11, "unknown", self.ids[2]))

    def test_a_nonce_is_removed_with_its_last_acknowledgement(self):
        self.ledger.acknowledge(10, "p", self.ids[2])
        self.assertEqual(self.ledger.outstanding, dict.fromkeys(self.ids, 1))
        self.ledger.proxy_left("q")
        self.assertEqual(
            (self.ledger.outstanding, self.ledger.sent_at, self.identifiers.nonces), ({}, {}, {})
        )

    def test_a_proxy_is_overdue_by_its_oldest_nonce(self):
        self.ledger.acknowledge(10, "p", self.ids[0])
        self.assertEqual(self.ledger.overdue_proxies(NONCE_TIMEOUT_NS + 1), ["q"])
        self.assertEqual(self.ledger.overdue_proxies(NONCE_TIMEOUT_NS + 2), ["p", "q"])


if __name__ == "__main__":
    unittest.main()
