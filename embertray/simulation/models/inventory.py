"""An inventory without its sockets: what is listed, since when, and what a call is answered. Times in ns."""

from embertray.controller.endpoint_list.messages import EndpointEntry, ListRequest, WatchEvent


class Inventory:
    """`entries` is the truth now, `log` each change by its epoch."""

    def __init__(self):
        self.entries, self.epoch, self.changes, self.down = {}, 0, {}, False

    def change(self, name, zone, state, started):
        """The truth changes now; gone: no longer listed. The EndpointEntry that watchers are told."""
        self.epoch += 1
        entry = self.changes[self.epoch] = EndpointEntry(name, zone, state, started)
        if state == "gone":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
        return entry

    def watch_event(self, now, since, entries):
        return WatchEvent(self.epoch, since, now, entries)

    def answer(self, now, request):
        """The WatchEvent that answers a ListRequest or a WatchRequest; None: there is nothing to tell."""
        if isinstance(request, ListRequest):
            return self.watch_event(now, 0, list(self.entries.values()))
        if (
            request.enabled
            and request.since
            and request.since in self.changes
            and request.since <= self.epoch
        ):
            latest = {
                self.changes[n].backend: self.changes[n] for n in range(request.since + 1, self.epoch + 1)
            }
            return self.watch_event(now, request.since, list(latest.values()))
        return self.watch_event(now, 0, list(self.entries.values())) if request.enabled else None
