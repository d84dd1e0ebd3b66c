"""Reaching members that were lost, so that the sides of a network partition find each other again."""

from .member import DEAD
from .messages import Join, Ping
from .outbox import Recipient
from .prober import Prober


class Reconnector(Prober):
    """Pings dead members, joins by seeds, and asks active members for all that they know, each in turns."""

    def reconnect(self):
        """Do all three, once."""
        dead = sorted(member.name for member in self.members.values() if member.state == DEAD)
        unknown_seeds = self.unknown_seeds()
        self.ping_dead_members(dead)
        self.request_full_state()
        if unknown_seeds and (not self.joined or not dead):
            self.join_by_seeds(unknown_seeds)

    def unknown_seeds(self):
        """Return the addresses of seeds at which no active member is known."""
        known = {member.address for member in self.active_members}
        return [seed for seed in self.seeds if seed not in known]

    def ping_dead_members(self, dead):
        """Ping some members that are taken for dead. By turns, how long one waits for a ping is bounded.

        Args:
            dead: Their names, sorted.
        """
        for _ in range(min(self.config.indirect_probes, len(dead))):
            member = self.members[self.reconnect_order.next_name(dead)]
            self.send_to_member(member, Ping, self.next_sequence())

    def request_full_state(self):
        """Ask one active member for all that it knows.

        Guards against statements that were lost on their way to this member after they were gossiped often
        enough: they show as members that disagree for good.
        """
        name = self.sync_order.next_name(self.active_names())
        if name is not None:
            self.send_to_member(self.members[name], Join, self.next_sequence(), first=False)

    def join_by_seeds(self, seeds):
        """Ask seeds to let this member join: all of them until it has joined, then one at random.

        Args:
            seeds: Addresses at which no active member is known.
        """
        chosen = self.rng.sample(seeds, 1) if self.joined else seeds
        for address in chosen:
            self.send(Recipient(address, 0, ""), Join, self.next_sequence(), first=not self.joined)
