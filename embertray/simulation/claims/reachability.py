"""Which members of a cluster reach each other, and since when; no I/O.

Two members are within reach of each other over links that are good both ways, or through whichever helpers
a probe may draw. They are out of reach when nothing passes between them, directly or through others. A poor
link (one that loses more than MAX_LINK_LOSS, or delays by more than a quarter of the period) is neither.
"""

# loss each way up to which the failure detector is designed to work (docs/measured/cluster.md)
MAX_LINK_LOSS = 0.3
PERIOD_PER_MAX_DELAY = 4  # the delay of a good link is at most the period divided by this


class Reachability:
    """Tracks reachability, given each change to links and processes in the order of time.

    Args:
        links: a Network with the links between the members; its `listeners` are extended.
        period: ns between two probes of one member.
        helpers: number of members that an indirect probe asks.
    """

    def __init__(self, links, period, helpers):
        self.links = links
        self.period = period
        self.helpers = helpers
        self.names = list(links.members)
        self.started = set()
        self.paused = set()
        self.in_reach_since = {}  # (a, b) -> ns
        self.out_of_reach_since = {}  # (a, b) -> ns
        self.direct = {}  # (a, b) -> (since, members that the better connected of the two does not reach)
        self.last_contact = {name: dict.fromkeys(self.names, 0) for name in self.names}  # holder -> of -> ns
        self.groups = {}  # running member -> all that something passes between
        self._starting = set()
        self._starting_at = 0
        self._read_links()
        links.listeners.append(self.links_changed)

    # ---- changes

    def process_started(self, now, name):
        """Notes the start of a process; starts at the same time are applied as one change.

        The effects of a single start are part of the effects of all of them, and hundreds of processes that
        start at once then cost one update of all pairs.
        """
        if now != self._starting_at:
            self.apply_starts()
        self._starting_at = now
        self._starting.add(name)

    def apply_starts(self):
        """Applies the noted starts; has to be called before any state is read."""
        starting = self._starting
        self._starting = set()
        if starting:
            self.started |= starting
            self.paused -= starting
            self._update(self._starting_at, starting)

    def process_ended(self, now, name):
        """Applies the end of a member's process."""
        self.apply_starts()
        self.started.discard(name)
        self._update(now, {name})

    def process_paused(self, now, name):
        """Applies the pause of a member's process."""
        self.apply_starts()
        self.paused.add(name)
        self._update(now, {name})

    def process_resumed(self, now, name):
        """Applies the resumption of a paused process."""
        self.apply_starts()
        self.paused.discard(name)
        self._update(now, {name})

    def links_changed(self, now):
        """Applies a change of the links."""
        self.apply_starts()
        self._read_links()
        self._update(now)

    # ---- queries

    def is_running(self, name):
        """Whether a member's process runs and is not paused."""
        return name in self.started and name not in self.paused

    def in_reach_for(self, now, name, other):
        """Returns the ns for which two members have been within reach of each other; 0 if they are not."""
        return now - self.in_reach_since.get((name, other), now)

    def out_of_reach_for(self, now, name, other):
        """Returns the ns for which nothing has passed between `name` and `other`; 0 if something does."""
        return now - self.out_of_reach_since.get((name, other), now)

    # ---- updates

    def _read_links(self):
        """Reads which members each member has good links to, and open links to or from."""
        self._good_links = {name: set() for name in self.names}
        self._open_links = {name: set() for name in self.names}
        for name in self.names:
            for other in self.names:
                if name == other:
                    continue
                if self._is_good(name, other):
                    self._good_links[name].add(other)
                if self.links.link(name, other).open:
                    self._open_links[name].add(other)
                    self._open_links[other].add(name)

    def _is_good(self, name, other):
        link = self.links.link(name, other)
        latest = link.delay + link.jitter
        return link.open and link.drop <= MAX_LINK_LOSS and latest <= self.period // PERIOD_PER_MAX_DELAY

    def _update(self, now, restarted=frozenset()):
        """Updates who reaches whom; the times of `restarted` members start again."""
        running = [name for name in self.names if self.is_running(name)]
        present = set(running)
        mutual = {
            name: {other for other in self._good_links[name] & present if name in self._good_links[other]}
            for name in running
        }
        self._note_contacts(now)  # of the groups until now
        self.groups = self._connected_groups(running)
        self._note_contacts(now)
        for name in self.names:
            for other in self.names:
                if name != other:
                    self._update_pair(now, (name, other), mutual, restarted)

    def _update_pair(self, now, pair, mutual, restarted):
        """Updates since when one member reaches, or does not reach, another one."""
        name, other = pair
        restart = name in restarted or other in restarted
        _set_since(self.in_reach_since, pair, self._are_in_reach(name, other, mutual), now, restart)
        # a member that kept running has been without the other since before the restart: its time goes on
        apart = other not in self.groups.get(name, ())
        _set_since(self.out_of_reach_since, pair, apart, now, name in restarted)
        if other not in mutual.get(name, ()):
            self.direct.pop(pair, None)
            return
        unreachable = len(self.names) - 1 - max(len(mutual[name]), len(mutual[other]))
        if restart or self.direct.get(pair, (0, None))[1] != unreachable:
            self.direct[pair] = (now, unreachable)

    def _are_in_reach(self, name, other, mutual):
        """Whether a probe between two succeeds, directly or through whichever helpers are drawn."""
        if name not in mutual or other not in mutual:
            return False
        if other in mutual[name]:
            return True
        candidates = len(self.names) - 2
        useless = candidates - len(mutual[name] & mutual[other])
        return useless < min(self.helpers, candidates)

    def _connected_groups(self, running):
        """Returns each running member's group: those that it is connected to, directly or through others."""
        groups = {}
        left = set(running)
        while left:
            first = left.pop()
            group = {first}
            frontier = [first]
            while frontier:
                reached = left & self._open_links[frontier.pop()]
                group |= reached
                left -= reached
                frontier += reached
            groups.update(dict.fromkeys(group, frozenset(group)))
        return groups

    def _note_contacts(self, now):
        """Updates the last contacts of each group's members.

        They may know each other as of now, and everybody else as of the last contact that any of them had.
        """
        for group in set(self.groups.values()):
            contacts = [self.last_contact[name] for name in group]
            newest = dict.fromkeys(group, now)
            for name in self.names:
                if name not in newest:
                    newest[name] = max(contact[name] for contact in contacts)
            for name in group:
                self.last_contact[name] = dict(newest)


def _set_since(since, pair, holds, now, restart):
    """Updates since when something holds for a pair; `restart`: from now on, even if it held before."""
    if not holds:
        since.pop(pair, None)
    elif restart or pair not in since:
        since[pair] = now
