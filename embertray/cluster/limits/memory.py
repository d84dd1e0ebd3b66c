"""The last ask of each life of each member, for whoever leads next: proxies act on what a dead life told
them.
"""

LIVES = 4  # of a member that are remembered: its proxies have joined others long before it started so often


class Memory:
    """`whole`: whether this process may lead: it runs since the site began, or a majority has told it what
    they remember.
    """

    def __init__(self, me, count, first):
        self.me, self.count, self.asks, self.voices = me, count, {}, set()
        self.whole = first

    def put(self, name, ask):
        """False if it is no later than what is known."""
        lives = self.asks.setdefault(name, {})
        if lives and ask.seq <= max(known.seq for known in lives.values()):
            return False
        lives[ask.life] = ask
        for life in sorted(lives)[:-LIVES]:
            del lives[life]
        return True

    def told(self):
        return {name: [lives[life] for life in sorted(lives)] for name, lives in self.asks.items()}

    def recalled(self, sender, asks):
        """Another's memory: what it has of each life, if that is later than ours."""
        for name, known in asks.items():
            lives = self.asks.setdefault(name, {})
            for ask in known:
                if ask.life not in lives or ask.seq > lives[ask.life].seq:
                    lives[ask.life] = ask
        self.voices.add(sender)
        self.whole = self.whole or 2 * len(self.voices | {self.me}) > self.count
