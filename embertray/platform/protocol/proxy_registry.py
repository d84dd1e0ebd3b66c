"""Which proxies are joined, by several event streams of which any may break.

Each stream begins with the proxies that are joined. One stream leads: its joins and leaves are passed on as
they come. When it is lost another one takes over, and the difference of the two is passed on.
"""

from .event_stream import NonceAcknowledged, ProxyJoined, ProxyLeft
from .limits import JOIN_TIME_TOLERANCE_NS, SILENCE_MAX_BESIDE_OTHER_NS, SILENCE_MAX_NS, SYNC_TIME_NS


class StreamView:
    """What one stream has brought.

    Attributes:
        first_byte_at: When its first bytes came, ns, or None.
        last_byte_at: When its last bytes came, or when it was opened, ns.
        joined: Proxy number -> its ProxyJoined.
        joined_at: Proxy number -> when it joined, ns; 0 if it was joined when the stream began.
        seen: Numbers of the proxies that were ever named as joined.
    """

    __slots__ = ("first_byte_at", "last_byte_at", "joined", "joined_at", "seen")

    def __init__(self, now):
        self.first_byte_at = None
        self.last_byte_at = now
        self.joined = {}
        self.joined_at = {}
        self.seen = set()

    def apply(self, now, event):
        """Take in an event that came at `now`, ns."""
        if isinstance(event, ProxyJoined):
            # the second time that it is named it has left and come back, be it while the stream synchronizes
            again = event.proxy in self.seen
            self.seen.add(event.proxy)
            self.joined[event.proxy] = event
            self.joined_at[event.proxy] = now if again or self.synced(now) else 0
        elif isinstance(event, ProxyLeft):
            self.joined.pop(event.proxy, None)
            self.joined_at.pop(event.proxy, None)

    def synced(self, now):
        """Whether all proxies that were joined when the stream began have been named by `now`, ns."""
        return self.first_byte_at is not None and now >= self.first_byte_at + SYNC_TIME_NS


class ProxyRegistry:
    """Merges the streams into one sequence of events; all methods that return events return new ones only.

    Marks count from whichever stream brings them. Streams are whatever the caller knows them by.

    Attributes:
        leader: The stream that leads, or None.
        joined: Proxy number -> its ProxyJoined, as passed on.
        joined_at: Proxy number -> when its join was passed on, ns.
        leaderless_since: When the last leader was lost, ns.
    """

    def __init__(self):
        self.views = {}  # stream -> its StreamView
        self.leader = None
        self.joined = {}
        self.joined_at = {}
        self.leaderless_since = 0

    def stream_opened(self, now, stream):
        """A stream was requested anew at `now`, ns."""
        self.views[stream] = StreamView(now)

    def received(self, now, stream, events):
        """Bytes of a stream came at `now`, ns, and completed `events`, perhaps none. Returns new events."""
        view = self.views[stream]
        view.last_byte_at = now
        if view.first_byte_at is None:
            view.first_byte_at = now
        new_events = []
        for event in events:
            view.apply(now, event)
            if isinstance(event, NonceAcknowledged):
                if event.proxy in self.joined:
                    new_events.append(event)
            elif stream is self.leader:
                new_events += self.apply_event(now, event)
        return new_events + self.elect_leader(now)

    def apply_event(self, now, event):
        """A proxy joined or left. Returns the events to pass on: one that joins anew has left before."""
        new_events = []
        if event.proxy in self.joined:
            del self.joined[event.proxy]
            new_events.append(ProxyLeft(event.proxy))
        if isinstance(event, ProxyJoined):
            self.joined[event.proxy] = event
            self.joined_at[event.proxy] = now
            new_events.append(event)
        else:
            self.joined_at.pop(event.proxy, None)
        return new_events

    def stream_lost(self, now, stream):
        """A stream broke at `now`, ns. Returns new events."""
        self.views.pop(stream, None)
        if stream is self.leader:
            self.leader = None
            self.leaderless_since = now
        return self.elect_leader(now)

    def elect_leader(self, now):
        """If no stream leads, the synchronized one that is open longest does. Returns new events."""
        if self.leader in self.views:
            return []
        synced = [stream for stream, view in self.views.items() if view.synced(now)]
        if not synced:
            return []
        self.leader = min(synced, key=lambda stream: self.views[stream].first_byte_at)
        return self.reconcile(now, self.views[self.leader])

    def reconcile(self, now, view):
        """Pass on what the new leader's view differs in.

        A proxy that is joined in both may have left and come back. The view shows it if it came back on that
        stream. If no stream was there meanwhile (a gap), a proxy that holds no ordered table now has come
        back too, or was not bound yet; either way it has to be bound. One that kept its table is found by the
        mark that it leaves unanswered.
        """
        new_events = []
        gap = view.first_byte_at > self.leaderless_since
        for proxy in [proxy for proxy in self.joined if proxy not in view.joined]:
            new_events += self.apply_event(now, ProxyLeft(proxy))
        for proxy, event in view.joined.items():
            known = self.joined.get(proxy)
            came_back = view.joined_at[proxy] > self.joined_at.get(proxy, 0) + JOIN_TIME_TOLERANCE_NS
            if known is None or known.zone != event.zone or came_back or (gap and event.without_table):
                new_events += self.apply_event(now, event)
        return new_events

    def next_sync_at(self):
        """When a stream is synchronized and may lead, ns; None if one leads or none has brought a byte."""
        if self.leader in self.views:
            return None
        began = [view.first_byte_at for view in self.views.values() if view.first_byte_at is not None]
        return min(began) + SYNC_TIME_NS if began else None

    def silence_reason(self, now, stream):
        """Why a stream is to be given up at `now`, ns, or "".

        Against a machine that vanished or was cut off: its connections stay open and silent.
        """
        last = self.views[stream].last_byte_at
        if now - last > SILENCE_MAX_NS:
            return "silent"
        others = max(
            (view.last_byte_at for name, view in self.views.items() if name is not stream), default=0
        )
        if now - last > SILENCE_MAX_BESIDE_OTHER_NS and others > last + SILENCE_MAX_BESIDE_OTHER_NS // 2:
            return "silent while another stream brings events"
        return ""
