"""Faults on members that hold limits, and on their links."""

from .limits_member import LimitsMember

FAULTS = ("kill", "stop", "split", "oneway", "lossy", "move")
# Part of the messages that a lossy link drops.
LOSS = 0.5


class LimitsFaults:
    """Mixin of LimitsSimulation with faults on its members, proxies and links."""

    def kill(self, name):
        """Kills a member's process, if it runs; its proxies join other members.

        Args:
            name: The member's name.
        """
        member = self.members[name]
        if not member.alive:
            return
        member.alive = False
        for proxy in [proxy for proxy, joined in self.joined_member.items() if joined is member]:
            self.joined_member[proxy] = None
            self.rejoin_later(proxy)

    def start_member(self, name):
        """Starts a member's process, unless it runs.

        Args:
            name: The member's name.
        """
        if not self.members[name].alive:
            self.members[name] = LimitsMember(self, name, False)

    def pause(self, name):
        """Stops a member's process.

        Args:
            name: The member's name.
        """
        self.members[name].pause()

    def resume(self, name):
        """Continues a member's process, if it is stopped.

        Args:
            name: The member's name.
        """
        if self.members[name].paused:
            self.members[name].resume()

    def inject_fault(self, duration):
        """Injects a random fault on random members or links, and schedules its end.

        Args:
            duration: Duration of the fault, ns.

        Returns:
            The fault's name, one of FAULTS.
        """
        names = self.rng.sample(self.names, self.rng.randint(1, max(1, len(self.names) // 2)))
        fault = self.rng.choice(FAULTS)
        if fault == "kill":
            self._fault_members(names, self.kill, self.start_member, duration)
        elif fault == "stop":
            self._fault_members(names, self.pause, self.resume, duration)
        elif fault == "move":
            self._move_proxies()
        else:
            self._fault_links(fault, names, duration)
        return fault

    def _fault_members(self, names, begin, end, duration):
        for name in names:
            begin(name)
            self.engine.after(duration, end, name)

    def _move_proxies(self):
        """Breaks the streams of half of the proxies."""
        for proxy in self.rng.sample(sorted(self.joined_member), len(self.joined_member) // 2):
            if self.joined_member[proxy] is not None:
                self.break_stream(proxy)

    def _fault_links(self, fault, names, duration):
        """Partitions the named members from the others, or closes or degrades random links."""
        pairs = self.links.pairs()
        if fault == "split":
            pairs = self.links.pairs_between([names, [name for name in self.names if name not in names]])
        else:
            pairs = self.rng.sample(pairs, self.rng.randint(1, len(pairs)))
        change = {"drop": LOSS} if fault == "lossy" else {"open": False}
        now = self.engine.time
        self.links.set_conditions(now, pairs, **change)
        # The time of the repair is given as that of the fault; nothing in this simulation reads it.
        self.engine.after(duration, self.links.restore_conditions, now, pairs, tuple(change))
