"""One controller on the platform without I/O: module and identifiers (Runner) between list, reports, relay's
news and calls.

The transports hand in what came and the time, send `caller`'s calls, and call `advance` at once or at
`next_at`.
"""

from embertray.controller.runner import Runner
from embertray.controller.settings import StartSettings
from embertray.policy import Controller, interface as i

from .calls import Caller
from .discovery import Follow
from .limits import TIDY, WAITING_MOST
from .news import Done, News, Standing
from .port import Port
from .room import Room
from .start import without_words
from .words import Words


class Post(Runner):
    """`start` is a start.Start. Raises BadSettings."""

    def __init__(self, start, now, wall):
        self.settings = StartSettings.nested(start.settings)
        self.said, self.chance = without_words(self.settings), start.chance
        super().__init__(start.chance, self.settings.deployment, now)
        self.words, self.caller, self.standing = (
            Words(self.identifiers, self.settings.kinds),
            Caller(self.module.context.deployment.way_max),
            Standing(),
        )
        known = start.members()
        self.follow, self.tidy_at = Follow(known.revision), now + TIDY
        self.unknown = self.dropped = (
            0  # reports on nobody that a list ever had; reports that waited too long
        )
        self.room = Room(start.limits.sockets)
        self.news(now, "cached", wall, known.members)

    def port(self, now):
        """A new connection at our address."""
        return Port(now, self.settings.zones, self.settings.kinds, self.settings.proxies)

    def stream(self):
        """A new connection with the relay's news."""
        return News(self.settings.zones, self.settings.proxies)

    def reports(self, found):
        for one in found:
            if (event := self.words.report(one)) is None:
                self.unknown += 1  # against reports on what no list ever had
            else:
                self.todo.append(event)
        if (
            len(self.todo) > WAITING_MOST
        ):  # against a relay that is gone for hours: reports alone would fill the memory
            kept = [event for event in self.todo if not isinstance(event, (i.Heard, i.Arrivals))]
            self.dropped += len(self.todo) - len(kept)
            self.todo = kept

    def relayed(self, found):
        """What Standing made of the relay's news. True if a call that waited for evidence has it."""
        due = False
        for one in found:
            if isinstance(one, Done):
                due = self.caller.saw(one.nonce) or due
            if (event := self.words.news(one)) is not None:
                self.todo.append(event)
        return due

    def advance(self, now):
        """One step, unless a call is under way: what its answer tells comes first. True if there is a call to
        send.
        """
        if now >= self.tidy_at:
            self.tidy_at = now + TIDY
            self.tidy()
        if self.caller.idle and (orders := self.play(now)):
            texts, nonce, sync, said = self.words.orders(orders)
            self.caller.put(texts, nonce, sync)
            self.said += said
        return not self.caller.idle

    def anew(self, now):
        """A new module in place of one that had a fault within a step, told what stands. Its tables get new
        numbers, so that no line of the former ones is left to anybody who is bound."""
        listed = [
            i.Entry(backend.handle, backend.zone, backend.state, backend.started)
            for backend in self.module.backends
            if backend.state not in (None, "gone")
        ]
        for known in (self.identifiers.backends, self.identifiers.proxies):
            for handle in known.values():
                handle.actor = None
        self.chance += 1
        self.module, self.wakes, self.identifiers.nonces = (
            Controller(self.chance, self.settings.deployment(self.identifiers), now),
            [],
            {},
        )
        self.todo = [i.ListNews("cached", listed), *map(self.words.news, self.standing.joined.values())]

    def tidy(self):
        """Who is long gone is forgotten, and nonces that nobody owes an answer to."""
        self.forget(lambda thing: thing.external_id in self.standing.joined)
        open_nonces = {nonce for proxy in self.module.proxies for nonce, _ in proxy.messages.open}
        open_nonces.update(self.module.publisher.budget.in_flight.by_nonce)
        self.identifiers.nonces = {
            number: nonce for number, nonce in self.identifiers.nonces.items() if nonce in open_nonces
        }

    def next_at(self):
        """When to advance again if nothing happens before, ns; None while a call is under way."""
        return self.next_wake() if self.caller.idle else None
