"""An inventory without its sockets: what is listed, since when, and what a call is answered. Times in ns."""

from embertray.controller.endpoint_list.messages import EndpointEntry, ListRequest, WatchEvent


class Inventory:
    """`entries` is the truth now, `log` each change by its epoch."""

    def __init__(self):
        self.entries, self.epoch, self.log, self.down = {}, 0, {}, False

    def change(self, name, zone, state, started):
        """The truth changes now; gone: no longer listed. The EndpointEntry that watchers are told."""
        self.epoch += 1
        entry = self.log[self.epoch] = EndpointEntry(name, zone, state, started)
        if state == "gone":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
        return entry

    def news(self, now, since, entries):
        return WatchEvent(self.epoch, since, now, entries)

    def answer(self, now, call):
        """The WatchEvent that answers a ListRequest or a WatchRequest; None: there is nothing to tell."""
        if isinstance(call, ListRequest):
            return self.news(now, 0, list(self.entries.values()))
        if call.enabled and call.since and call.since in self.log and call.since <= self.epoch:
            latest = {self.log[n].backend: self.log[n] for n in range(call.since + 1, self.epoch + 1)}
            return self.news(now, call.since, list(latest.values()))
        return self.news(now, 0, list(self.entries.values())) if call.enabled else None
