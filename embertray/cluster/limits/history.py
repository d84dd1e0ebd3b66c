"""The last ask of each life of each member, for whoever leads next: proxies act on what a dead life told
them.
"""

LIVES = 4  # of a member that are remembered: its proxies have joined others long before it started so often


class RequestHistory:
    """`whole`: whether this process may lead: it runs since the site began, or a majority has told it what
    they remember.
    """

    def __init__(self, me, count, first):
        self.me, self.count, self.requests, self.votes = me, count, {}, set()
        self.complete = first

    def put(self, name, ask):
        """False if it is no later than what is known."""
        lives = self.requests.setdefault(name, {})
        if lives and ask.sequence <= max(known.sequence for known in lives.values()):
            return False
        lives[ask.incarnation] = ask
        for life in sorted(lives)[:-LIVES]:
            del lives[life]
        return True

    def requests_by_member(self):
        return {name: [lives[life] for life in sorted(lives)] for name, lives in self.requests.items()}

    def recalled(self, sender, asks):
        """Another's memory: what it has of each life, if that is later than ours."""
        for name, known in asks.items():
            lives = self.requests.setdefault(name, {})
            for ask in known:
                if ask.incarnation not in lives or ask.sequence > lives[ask.incarnation].sequence:
                    lives[ask.incarnation] = ask
        self.votes.add(sender)
        self.complete = self.complete or 2 * len(self.votes | {self.me}) > self.count
