"""Memory accounts: for each purpose what it takes, its cap, and what is to be done at the cap, without I/O.

Each evaluation counts entries, which is cheap, and measures the entries of some purposes in turn by an exact
walk over a sample, so that the bytes an entry takes are never older than one round over the purposes.
"""

from typing import NamedTuple

from .account import RELEASE_SHARE, Account

NS_PER_SECOND = 10**9
EVALUATION_PERIOD_NS = 1 * NS_PER_SECOND  # nothing here grows by a tenth of a cap in a second
MEASURING_ROUND_NS = 16 * NS_PER_SECOND  # in which the entries of every purpose are measured once

JOIN_DELAY_NS = 5 * NS_PER_SECOND  # a rejected proxy is asked to stay away for this,
JOIN_DELAY_JITTER_NS = 10 * NS_PER_SECOND  # and up to this more at random: no storm when they come back


class CapInstruction(NamedTuple):
    """What is to be done for a purpose at its cap.

    Attributes:
        purpose: The purpose.
        action: One of the actions in purposes.py.
        excess: Bytes over the size at which the action ends.
    """

    purpose: str
    action: str
    excess: int


class CapNotice(NamedTuple):
    """What operators are notified of.

    Attributes:
        purpose: The purpose.
        text: Where it stands to its cap, in words.
        size: What it takes, bytes.
        cap: Its cap, bytes.
        action: What is done at the cap.
    """

    purpose: str
    text: str
    size: int
    cap: int
    action: str


class MemoryAccounts:
    """The accounts of one controller.

    Args:
        caps: Purpose -> bytes.
        random: A function that gives numbers from 0 to 1.

    Attributes:
        by_purpose: Purpose -> Account.
        notices: CapNotice items that operators have not been sent yet; whoever sends them empties it.
    """

    def __init__(self, caps, random):
        self.by_purpose = {purpose: Account(purpose, cap) for purpose, cap in caps.items()}
        self.notices = []
        self._random = random
        self._evaluate_at = 0  # ns
        self._next_measured = 0  # position of the purpose whose entries are measured next

    def evaluate(self, now, collections):
        """Counts all purposes, at most once each EVALUATION_PERIOD_NS.

        Args:
            now: ns.
            collections: A function that gives purpose -> Collections.

        Returns:
            CapInstruction items for the purposes whose caps are in force.
        """
        if now < self._evaluate_at:
            return []
        self._evaluate_at = now + EVALUATION_PERIOD_NS
        current = collections()
        measured = self._purposes_to_measure()
        instructions = []
        for purpose, account in self.by_purpose.items():
            account.update(current.get(purpose, []), purpose in measured)
            for text in account.compare_with_cap():
                self.notices.append(CapNotice(purpose, text, account.bytes, account.cap, account.action))
            if account.at_cap:
                account.evaluations_at_cap += 1
                excess = account.bytes - int(RELEASE_SHARE * account.cap)
                instructions.append(CapInstruction(purpose, account.action, excess))
        return instructions

    def any_at_cap(self, *purposes):
        """Whether the cap of any of the purposes is in force."""
        return any(self.by_purpose[purpose].at_cap for purpose in purposes)

    def reject_join(self):
        """Whether a join is to be rejected for lack of memory.

        Returns:
            How long the proxy is asked to stay away, ns; None: the join is admitted.
        """
        for purpose in ("streams", "names"):
            account = self.by_purpose[purpose]
            if account.at_cap:
                account.action_count += 1
                return JOIN_DELAY_NS + int(JOIN_DELAY_JITTER_NS * self._random())
        return None

    def rows(self):
        """Returns all accounts as JSON objects, for operators and metrics."""
        return [account.row() for account in self.by_purpose.values()]

    def _purposes_to_measure(self):
        """The purposes whose turn it is: each comes once a MEASURING_ROUND_NS."""
        order = list(self.by_purpose)
        due = max(1, round(len(order) * EVALUATION_PERIOD_NS / MEASURING_ROUND_NS))
        measured = {order[(self._next_measured + position) % len(order)] for position in range(due)}
        self._next_measured = (self._next_measured + due) % len(order)
        return measured
