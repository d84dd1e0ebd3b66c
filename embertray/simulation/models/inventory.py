"""A model of the inventory: the endpoint list, its history, and the answers to requests. Times in ns."""

from embertray.controller.endpoint_list.messages import EndpointEntry, ListRequest, WatchEvent


class Inventory:
    """The endpoint list and its changes.

    Attributes:
        entries: Backend -> EndpointEntry, as the list is now.
        epoch: Number of the last change.
        changes: Epoch -> EndpointEntry that changed then.
        down: Whether the inventory does not answer.
    """

    def __init__(self):
        self.entries, self.epoch, self.changes, self.down = {}, 0, {}, False

    def change(self, name, zone, state, started):
        """Changes an entry of the list; state "gone" removes it.

        Args:
            name: The backend.
            zone: Its zone.
            state: "ready", "draining" or "gone".
            started: When it started, ns; 0 if unknown.

        Returns:
            The EndpointEntry for the watchers.
        """
        self.epoch += 1
        entry = self.changes[self.epoch] = EndpointEntry(name, zone, state, started)
        if state == "gone":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
        return entry

    def watch_event(self, now, since, entries):
        """Returns a WatchEvent with entries that changed after the epoch `since`; 0: the complete list."""
        return WatchEvent(self.epoch, since, now, entries)

    def answer(self, now, request):
        """Returns the WatchEvent that answers a ListRequest or a WatchRequest, or None if there is none."""
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
