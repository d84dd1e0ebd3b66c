"""Memory accounts of all purposes: usage, cap, and the actions to take at the cap, without I/O.

Each evaluation counts all entries, which is cheap, and measures the bytes per entry of some purposes in turn,
by walking a sample of their objects. A measurement is never older than one round over all purposes.
"""

from typing import NamedTuple

from .account import RELEASE_SHARE, Account

NS_PER_SECOND = 10**9
EVALUATION_PERIOD_NS = 1 * NS_PER_SECOND  # no purpose grows by a tenth of its cap in a second
MEASURING_ROUND_NS = 16 * NS_PER_SECOND  # in which each purpose is measured once

JOIN_DELAY_NS = 5 * NS_PER_SECOND  # a rejected proxy is asked to retry after this time,
JOIN_DELAY_JITTER_NS = 10 * NS_PER_SECOND  # plus a random time up to this, to avoid a reconnect storm


class CapInstruction(NamedTuple):
    """An action to take for a purpose at its cap.

    Attributes:
        purpose: The purpose.
        action: One of the actions in purposes.py.
        excess: Bytes above the size at which the action ends.
    """

    purpose: str
    action: str
    excess: int


class CapNotice(NamedTuple):
    """A notice for operators about a cap.

    Attributes:
        purpose: The purpose.
        text: Its state relative to the cap, as text.
        size: Its usage, bytes.
        cap: Its cap, bytes.
        action: The action taken at the cap.
    """

    purpose: str
    text: str
    size: int
    cap: int
    action: str


class MemoryAccounts:
    """The accounts of one controller.

    Args:
        caps: Purpose -> cap in bytes.
        random: A function that returns random numbers from 0 to 1.

    Attributes:
        by_purpose: Purpose -> Account.
        notices: CapNotice items not sent to operators yet; the caller that sends them clears the list.
    """

    def __init__(self, caps, random):
        self.by_purpose = {purpose: Account(purpose, cap) for purpose, cap in caps.items()}
        self.notices = []
        self._random = random
        self._evaluate_at = 0  # ns
        self._next_measured = 0  # index of the purpose to measure next

    def evaluate(self, now, collections):
        """Updates all accounts, at most once per EVALUATION_PERIOD_NS.

        Args:
            now: ns.
            collections: A function that returns a dict, purpose -> Collections.

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
        """Checks whether a join has to be rejected for lack of memory, and counts a rejection.

        Returns:
            The time after which the proxy may retry, ns; None if the join is admitted.
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
        """Returns the purposes to measure now; each has its turn once per MEASURING_ROUND_NS."""
        order = list(self.by_purpose)
        due = max(1, round(len(order) * EVALUATION_PERIOD_NS / MEASURING_ROUND_NS))
        measured = {order[(self._next_measured + position) % len(order)] for position in range(due)}
        self._next_measured = (self._next_measured + due) % len(order)
        return measured
