"""What protocol handling decides by: every time limit and cap of the platform's controller, with its reason.

Names say the unit: _NS whole nanoseconds, _BYTES bytes, _CHARACTERS characters; numbers without one are
counts.
"""

NS_PER_MS = 10**6  # ns
NS_PER_S = 10**9  # ns

# ---- the controller's address

# the protocol lets a connection that has not joined by then be closed
JOIN_TIMEOUT_NS = 1000 * NS_PER_MS
# for a reply to be taken, the last one before the close as well
REPLY_TIMEOUT_NS = 1000 * NS_PER_MS
# read on and dropped after the last reply, so long or so much: a close over unread bytes is a reset
LINGER_TIMEOUT_NS = 200 * NS_PER_MS
LINGER_MAX_BYTES = 256 << 10
# sent by a connection before it joins: its first line is under 200
UNJOINED_MAX_BYTES = 16 << 10
# by the protocol
LINE_MAX_BYTES = 1 << 20
# part of the file descriptors for connections that have not joined; the rest is for those that have
UNJOINED_SHARE = 0.5
# file descriptors kept free for relay, discovery and the process itself
RESERVED_DESCRIPTORS = 48
# either kind of connection has so many descriptors, however few there are
UNJOINED_MIN = 16
COLLECTORS_MIN = 8
# attempts or requests in one report: a hundred times what a zone can do in a minute
COUNT_MAX = 10**6
# milliseconds; no mean latency or report interval is as long
REPORT_TIME_MAX_MS = 600_000
# a load report's value: past any queue, share or latency in ms
LOAD_VALUE_MAX = 10**6
NAME_MAX_CHARACTERS = 256

# ---- the relay's calls

# orders in one call, by the protocol
ORDERS_MAX_BYTES = 60_000
# of those, kept free for the order of a mark
ACKNOWLEDGEMENT_REQUEST_MAX_BYTES = 64
# a connection on the same network that takes longer does not come up
CONNECT_TIMEOUT_NS = 300 * NS_PER_MS
# for a request to be taken: a call has 100 kB at most, on the same network
SEND_TIMEOUT_NS = 400 * NS_PER_MS
# the relay answers in 50 ms or not at all; the rest is for a process that got no core
ANSWER_TIMEOUT_NS = 400 * NS_PER_MS
# beyond the longest way of a message, that an unanswered call's nonce is waited for
ACKNOWLEDGEMENT_WAIT_NS = 150 * NS_PER_MS
# before a call that was not taken is sent again, or a list request repeated; doubles from first to max
BACKOFF_FIRST_NS = 20 * NS_PER_MS
BACKOFF_MAX_NS = 250 * NS_PER_MS
# doublings of a backoff that are counted: past them the longest one holds anyway
BACKOFF_DOUBLINGS_MAX = 6
# times that a call is sent again after an error that the protocol gives no meaning
REJECTED_RETRIES_MAX = 5
# of an order that the log names: a good one has under 100
LOGGED_ORDER_MAX_CHARACTERS = 200
# of a count of orders: one call has under 60,000
ORDER_COUNT_MAX_DIGITS = 9
ERROR_CODE_MAX_CHARACTERS = 63
# of an answer: a good one has under 200
ANSWER_MAX_BYTES = 64 << 10

# ---- the relay's event stream

# connections with events: while one has them, nothing is lost if the other breaks
EVENT_STREAMS = 2
# from the first bytes of a connection until all that stands has come
SYNC_TIME_NS = 300 * NS_PER_MS
# without a byte: two signs of life are missing and some
SILENCE_MAX_NS = 2500 * NS_PER_MS
# without a byte while another connection brings some: one sign of life is missing
SILENCE_MAX_BESIDE_OTHER_NS = 1300 * NS_PER_MS
# of one event: a good one has under 200
EVENT_MAX_BYTES = 64 << 10
# by which two connections may differ on when a proxy joined
JOIN_TIME_TOLERANCE_NS = 300 * NS_PER_MS
# between looks at a connection that brings nothing: well under the least time above
SILENCE_CHECK_PERIOD_NS = 100 * NS_PER_MS
# before a connection is dialled again; doubles from the first to the longest. The relay's own connections are
# few, and without events nothing can be steered
RECONNECT_FIRST_NS = 100 * NS_PER_MS
RECONNECT_MAX_NS = 500 * NS_PER_MS
# a connection that lasted so long has worked: its reconnects start over
STABLE_STREAM_NS = 2 * SILENCE_MAX_BESIDE_OTHER_NS

# ---- discovery

# before the next request after answers at once with nothing new, doubling from BACKOFF_FIRST_NS on: a watch
# goes on if asked again within 200 ms
UNCHANGED_BACKOFF_MAX_NS = 150 * NS_PER_MS
# that a watch may wait; an agent that went silent is noticed this much later
WATCH_HOLD_NS = 2000 * NS_PER_MS
# an answer that tells nothing new and comes sooner came at once
IMMEDIATE_ANSWER_NS = WATCH_HOLD_NS // 2
# beyond the hold for an answer to begin: it comes from the same machine
LIST_FIRST_BYTE_TIMEOUT_NS = 700 * NS_PER_MS
# from its beginning for all of it: on a slow connection it counts as notified that long after the hold
LIST_TRANSFER_TIMEOUT_NS = 2000 * NS_PER_MS
# of an answer: 40,000 backends
LIST_MAX_BYTES = 8 << 20
# that lists older than the cached one are passed over; then discovery began anew
STALE_LIST_MAX_NS = 10 * NS_PER_S
# failures in a row that are logged: an outage is not logged every 2 s
LIST_FAILURES_LOGGED = 3

# ---- the process

# before a task that failed by a fault of the program goes on: against a fault that comes at once again
FAULT_BACKOFF_NS = 500 * NS_PER_MS
# between steps: what comes together is one step
STEP_INTERVAL_NS = 4 * NS_PER_MS
# events that wait while no call gets through: a minute and more of reports; older ones tell nothing
PENDING_EVENTS_MAX = 8000
# between looks for identifiers that nothing needs any more: as often as the module's sweep
CLEANUP_PERIOD_NS = 10 * NS_PER_S
