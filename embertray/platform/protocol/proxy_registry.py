"""Tracks which proxies are joined, using redundant event streams of which any may break.

Each stream begins with the proxies that are currently joined. One stream is the leader: its joins and leaves
are passed on as they arrive. When it is lost, another stream takes over, and the differences between the two
are passed on.
"""

from .event_stream import NonceAcknowledged, ProxyJoined, ProxyLeft
from .limits import JOIN_TIME_TOLERANCE_NS, SILENCE_MAX_BESIDE_OTHER_NS, SILENCE_MAX_NS, SYNC_TIME_NS


class StreamView:
    """The proxies as seen by one stream.

    Attributes:
        first_byte_at: When its first bytes arrived, ns, or None.
        last_byte_at: When its last bytes arrived, or when it was opened, ns.
        joined: Proxy number -> its ProxyJoined.
        joined_at: Proxy number -> when it joined, ns; 0 if it had joined before the stream began.
        seen: Numbers of all proxies that the stream has reported as joined.
    """

    __slots__ = ("first_byte_at", "last_byte_at", "joined", "joined_at", "seen")

    def __init__(self, now):
        self.first_byte_at = None
        self.last_byte_at = now
        self.joined = {}
        self.joined_at = {}
        self.seen = set()

    def apply(self, now, event):
        """Apply an event that arrived at `now`, ns."""
        if isinstance(event, ProxyJoined):
            # a second join means that the proxy left and came back, even during the initial synchronization
            rejoined = event.proxy in self.seen
            self.seen.add(event.proxy)
            self.joined[event.proxy] = event
            self.joined_at[event.proxy] = now if rejoined or self.synced(now) else 0
        elif isinstance(event, ProxyLeft):
            self.joined.pop(event.proxy, None)
            self.joined_at.pop(event.proxy, None)

    def synced(self, now):
        """Whether the initial synchronization is complete at `now`, ns: all joined proxies were reported."""
        return self.first_byte_at is not None and now >= self.first_byte_at + SYNC_TIME_NS


class ProxyRegistry:
    """Merges the streams into one sequence of events; methods that return events return each event once.

    Acknowledgements are accepted from every stream. Streams are identified by hashable objects of the caller.

    Attributes:
        leader: The leading stream, or None.
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
        """Start a new view for a stream that was requested at `now`, ns."""
        self.views[stream] = StreamView(now)

    def received(self, now, stream, events):
        """Handle bytes that arrived at `now`, ns, and the events completed by them. Returns new events."""
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
        """Apply a join or leave. Returns the events to pass on; a repeated join implies a leave first."""
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
        """Handle the loss of a stream at `now`, ns. Returns new events."""
        self.views.pop(stream, None)
        if stream is self.leader:
            self.leader = None
            self.leaderless_since = now
        return self.elect_leader(now)

    def elect_leader(self, now):
        """If there is no leader, elect the synchronized stream open longest. Returns new events."""
        if self.leader in self.views:
            return []
        synced = [stream for stream, view in self.views.items() if view.synced(now)]
        if not synced:
            return []
        self.leader = min(synced, key=lambda stream: self.views[stream].first_byte_at)
        return self.reconcile(now, self.views[self.leader])

    def reconcile(self, now, view):
        """Make the registry match the new leader's view. Returns the events to pass on.

        A proxy that is joined in both may have left and rejoined in between. If it rejoined on the new
        leader's stream, the view shows it. If no stream was open in between (a gap), a proxy without a table
        either rejoined or was not bound yet; in both cases it has to be bound. A proxy that rejoined and kept
        its table is detected by a missing acknowledgement.
        """
        new_events = []
        gap = view.first_byte_at > self.leaderless_since
        for proxy in [proxy for proxy in self.joined if proxy not in view.joined]:
            new_events += self.apply_event(now, ProxyLeft(proxy))
        for proxy, event in view.joined.items():
            known = self.joined.get(proxy)
            rejoined = view.joined_at[proxy] > self.joined_at.get(proxy, 0) + JOIN_TIME_TOLERANCE_NS
            if known is None or known.zone != event.zone or rejoined or (gap and event.without_table):
                new_events += self.apply_event(now, event)
        return new_events

    def next_sync_at(self):
        """When a stream may become the leader, ns; None if there is a leader or no stream has any data."""
        if self.leader in self.views:
            return None
        first_byte_times = [
            view.first_byte_at for view in self.views.values() if view.first_byte_at is not None
        ]
        return min(first_byte_times) + SYNC_TIME_NS if first_byte_times else None

    def silence_reason(self, now, stream):
        """Return why a stream is to be closed for silence at `now`, ns, or "" if it is alive.

        The connections of a host that crashed or was partitioned stay open without data.
        """
        last = self.views[stream].last_byte_at
        if now - last > SILENCE_MAX_NS:
            return "silent"
        others = max(
            (view.last_byte_at for name, view in self.views.items() if name is not stream), default=0
        )
        if now - last > SILENCE_MAX_BESIDE_OTHER_NS and others > last + SILENCE_MAX_BESIDE_OTHER_NS // 2:
            return "silent while another stream delivers events"
        return ""
