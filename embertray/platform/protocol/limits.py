"""All timeouts and size limits of the platform's controller, with their reasons.

Suffixes give the unit: _NS integer nanoseconds, _BYTES bytes, _CHARACTERS characters; values without one are
counts.
"""

NS_PER_MS = 10**6  # ns
NS_PER_S = 10**9  # ns

# ---- the controller's listening address

# the protocol allows a connection that has not joined after this time to be closed
JOIN_TIMEOUT_NS = 1000 * NS_PER_MS
# timeout for writing a reply, including the last one before the connection is closed
REPLY_TIMEOUT_NS = 1000 * NS_PER_MS
# after the last reply, input is read and discarded up to these limits: closing a socket with unread bytes
# causes a reset
LINGER_TIMEOUT_NS = 200 * NS_PER_MS
LINGER_MAX_BYTES = 256 << 10
# maximum that a connection may send before it joins: its first line takes less than 200 bytes
UNJOINED_MAX_BYTES = 16 << 10
# maximum length of a line, defined by the protocol
LINE_MAX_BYTES = 1 << 20
# share of the file descriptors for unjoined connections; the rest is for collectors
UNJOINED_SHARE = 0.5
# file descriptors reserved for the relay, discovery and the process itself
RESERVED_DESCRIPTORS = 48
# minimum number of connections of each kind, even if the process has fewer descriptors
UNJOINED_MIN = 16
COLLECTORS_MIN = 8
# maximum of attempts or requests in one report: a hundred times the capacity of a zone per minute
COUNT_MAX = 10**6
# maximum time in a report: longer than any mean latency or report interval
REPORT_TIME_MAX_MS = 600_000
# maximum value in a load report: larger than any queue length, utilization or latency in ms
LOAD_VALUE_MAX = 10**6
NAME_MAX_CHARACTERS = 256

# ---- the relay's calls

# maximum size of the orders in one call, defined by the protocol
ORDERS_MAX_BYTES = 60_000
# part of ORDERS_MAX_BYTES that is reserved for the acknowledgement request
ACKNOWLEDGEMENT_REQUEST_MAX_BYTES = 64
# timeout for connecting: connections within the same network are established faster or not at all
CONNECT_TIMEOUT_NS = 300 * NS_PER_MS
# timeout for sending a request: a call has at most 100 kB and stays within the same network
SEND_TIMEOUT_NS = 400 * NS_PER_MS
# timeout for an answer: the relay answers within 50 ms or not at all; the rest allows for a process without
# CPU time
ANSWER_TIMEOUT_NS = 400 * NS_PER_MS
# added to the maximum push delay when waiting for the acknowledgement of an unanswered call
ACKNOWLEDGEMENT_WAIT_NS = 150 * NS_PER_MS
# delay before a rejected call or a failed list request is repeated; doubles from first to max
BACKOFF_FIRST_NS = 20 * NS_PER_MS
BACKOFF_MAX_NS = 250 * NS_PER_MS
# maximum number of doublings: a backoff has reached its maximum by then
BACKOFF_DOUBLINGS_MAX = 6
# retries of a call after an error code that the protocol does not define
REJECTED_RETRIES_MAX = 5
# an order is truncated to this length in a log message: valid orders have less than 100 characters
LOGGED_ORDER_MAX_CHARACTERS = 200
# maximum length of the order count in an answer: one call has less than 60,000 orders
ORDER_COUNT_MAX_DIGITS = 9
ERROR_CODE_MAX_CHARACTERS = 63
# maximum size of an answer: valid answers have less than 200 bytes
ANSWER_MAX_BYTES = 64 << 10

# ---- the relay's event stream

# number of redundant connections: no event is lost if one of them breaks
EVENT_STREAMS = 2
# time from the first bytes of a connection until all currently joined proxies have been reported
SYNC_TIME_NS = 300 * NS_PER_MS
# a connection without data for this long is closed: two keep-alives have been missed, plus a margin
SILENCE_MAX_NS = 2500 * NS_PER_MS
# the same while another connection delivers data: one keep-alive has been missed
SILENCE_MAX_BESIDE_OTHER_NS = 1300 * NS_PER_MS
# maximum size of one event: valid events have less than 200 bytes
EVENT_MAX_BYTES = 64 << 10
# maximum difference between the times at which two connections report the same join of a proxy
JOIN_TIME_TOLERANCE_NS = 300 * NS_PER_MS
# interval between checks of a silent connection: well below the shortest time above
SILENCE_CHECK_PERIOD_NS = 100 * NS_PER_MS
# delay before reconnecting; doubles from first to max. The maximum is short: the relay has few such
# connections, and the controller depends on the events
RECONNECT_FIRST_NS = 100 * NS_PER_MS
RECONNECT_MAX_NS = 500 * NS_PER_MS
# a connection that lasted this long counts as stable and resets the reconnect backoff
STABLE_STREAM_NS = 2 * SILENCE_MAX_BESIDE_OTHER_NS

# ---- discovery

# maximum delay before the next request after immediate answers without changes; doubles from
# BACKOFF_FIRST_NS. A watch has to be renewed within 200 ms
UNCHANGED_BACKOFF_MAX_NS = 150 * NS_PER_MS
# time for which a watch may be held open; an agent that stopped answering is detected this much later
WATCH_HOLD_NS = 2000 * NS_PER_MS
# an answer without changes that arrives sooner counts as immediate
IMMEDIATE_ANSWER_NS = WATCH_HOLD_NS // 2
# timeout for the first byte of an answer, added to the hold time: the answer comes from the same machine
LIST_FIRST_BYTE_TIMEOUT_NS = 700 * NS_PER_MS
# timeout from the first byte to the end of an answer: a slow connection may delay a list by this much after
# the hold
LIST_TRANSFER_TIMEOUT_NS = 2000 * NS_PER_MS
# maximum size of an answer: sufficient for 40,000 backends
LIST_MAX_BYTES = 8 << 20
# time for which lists older than the cached one are ignored; if they are still older after it, discovery has
# restarted its revisions
STALE_LIST_MAX_NS = 10 * NS_PER_S
# number of consecutive failures that are logged, so that an outage is not logged every 2 s
LIST_FAILURES_LOGGED = 3

# ---- the process

# delay before a task that failed with an internal error is restarted: avoids a busy loop if it fails again
# at once
FAULT_BACKOFF_NS = 500 * NS_PER_MS
# minimum interval between steps: events that arrive together are handled in one step
STEP_INTERVAL_NS = 4 * NS_PER_MS
# maximum of pending events while no call succeeds: over a minute of reports; older reports have no value
PENDING_EVENTS_MAX = 8000
# interval between removals of unused identifiers: the same as that of the module's own cleanup
CLEANUP_PERIOD_NS = 10 * NS_PER_S
