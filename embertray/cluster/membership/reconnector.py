"""Reconnecting to lost members, so that the sides of a healed network partition merge."""

from .member import DEAD
from .messages import Join, Ping
from .outbox import Recipient
from .prober import Prober


class Reconnector(Prober):
    """Pings dead members, joins through seeds, and requests the full state of active members."""

    def reconnect(self):
        """Run one reconnection attempt: Pings to dead members, and Joins to an active member and to seeds.

        Once this member has joined, seeds are sent a Join only while no known member is dead.
        """
        dead = sorted(member.name for member in self.members.values() if member.state == DEAD)
        unknown_seeds = self.unknown_seeds()
        self.ping_dead_members(dead)
        self.request_full_state()
        if unknown_seeds and (not self.joined or not dead):
            self.join_by_seeds(unknown_seeds)

    def unknown_seeds(self):
        """Return the addresses of the seeds at which no active member is known."""
        known = {member.address for member in self.active_members}
        return [seed for seed in self.seeds if seed not in known]

    def ping_dead_members(self, dead):
        """Ping some dead members, in round-robin order, which bounds the time until each is pinged.

        Args:
            dead: Names of the dead members, sorted.
        """
        for _ in range(min(self.config.indirect_probes, len(dead))):
            member = self.members[self.reconnect_order.next_name(dead)]
            self.send_to_member(member, Ping, self.next_sequence())

    def request_full_state(self):
        """Request the full state of one active member.

        A statement that was lost in all of its transmissions to this member is not gossiped again; without
        this exchange the members' views would differ for good.
        """
        name = self.sync_order.next_name(self.active_names())
        if name is not None:
            self.send_to_member(self.members[name], Join, self.next_sequence(), first=False)

    def join_by_seeds(self, seeds):
        """Send a Join to the seeds: to all of them until this member has joined, then to a random one.

        Args:
            seeds: Addresses at which no active member is known.
        """
        chosen = self.rng.sample(seeds, 1) if self.joined else seeds
        for address in chosen:
            self.send(Recipient(address, 0, ""), Join, self.next_sequence(), first=not self.joined)
