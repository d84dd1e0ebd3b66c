"""What protocol handling decides by: every time limit and cap, with unit and reason. No other file here has
any.
"""

MS, S = 10**6, 10**9

# -- the controller's address
JOIN_WITHIN = 1000 * MS  # ns; the protocol lets a connection that has not joined by then be closed
REPLY_WITHIN, LAST_WITHIN = (
    1000 * MS,
    4 * MS,
)  # ns for a reply to be taken; and for the last one, before the close
PART_WITHIN, PART_BYTES = (
    200 * MS,
    256 << 10,
)  # ns, bytes: read on and dropped after it; a close over unread bytes is a reset
STRANGER_BYTES = 16 << 10  # bytes a connection may send before it joins: its first line is under 200
LINE_MOST = 1 << 20  # bytes of a line, by the protocol
STRANGERS_PART = (
    0.5  # of the descriptors told: connections that have not joined, at once; the rest is for who has
)
SPARE = 48  # descriptors kept free for relay, discovery and the process itself
COUNT_MOST = 10**6  # tries or requests in one report: a hundred times what a zone can do in a minute
TOOK_MOST = 600_000  # ms; no mean latency or report interval is as long
LOAD_MOST = 10**6  # a load report's value: past any queue, share or latency in ms
WORD_MOST = 256  # characters of a name

# -- the relay's calls
ORDERS_MOST = 60_000  # bytes of orders in one call, by the protocol
CONNECT_WITHIN = 300 * MS  # ns; a connection on the same network that takes longer does not come up
SEND_WITHIN = 400 * MS  # ns for a request to be taken: a call has 100 kB at most, on the same network
ANSWER_WITHIN = (
    400 * MS
)  # ns; the relay answers in 50 ms or not at all; the rest is for a process that got no core
EVIDENCE = 150 * MS  # ns beyond the longest way of a message, that an unanswered call's nonce is waited for
AGAIN_FIRST, AGAIN_MOST = 20 * MS, 250 * MS  # ns before a call that was not taken is sent again; doubles
REJECTS_MOST = 5  # times that a call is sent again after an error that the protocol gives no meaning
NAMED_MOST = 200  # characters of an order that the log names: a good one has under 100
COUNT_DIGITS = 9  # digits of a count of orders: one call has under 60,000
ERROR_WORD_MOST = 63  # characters of an error's word
ANSWER_MOST = 64 << 10  # bytes of an answer; a good one has under 200

# -- the relay's news
STREAMS = 2  # connections with news: while one has it, nothing is lost if the other breaks
OPENING = 300 * MS  # ns from the first bytes of a connection until all that stands has come
QUIET_MOST = 2500 * MS  # ns without a byte: two signs of life are missing and some
QUIET_BESIDE = (
    1300 * MS
)  # ns without a byte while another connection brings some: one sign of life is missing
EVENT_MOST = 64 << 10  # bytes of one event; a good one has under 200
SAME_WITHIN = 300 * MS  # ns by which two connections may differ on when a proxy joined
LOOK = 100 * MS  # ns between looks at a connection that brings nothing: well under the least time above
REDIAL = 100 * MS  # ns before a connection is dialled again; doubles up to
REDIAL_MOST = 500 * MS  # ns; the relay's own connections are few, and without news nothing can be steered

# -- discovery
STILL_MOST = (
    150 * MS
)  # ns, from AGAIN_FIRST on, before the next call after answers at once that told nothing new; a watch
# goes on if asked again within 200 ms
HOLD = 2000 * MS  # ns that a watch may wait; an agent that went silent is noticed this much later
LIST_WITHIN = 700 * MS  # ns beyond the hold for an answer to begin: it comes from the same machine
LIST_WHOLE = (
    2000 * MS
)  # ns from its beginning for all of it: on a slow connection it counts as told that long after the hold
LIST_MOST = 8 << 20  # bytes of an answer: 40,000 backends
OLD_MOST = 10 * S  # ns that lists older than the one held are passed over; then discovery began anew

# -- the process
FAULT_WAIT = 500 * MS  # ns before what had a fault of ours goes on: against a fault that comes at once again
GATHER = 4 * MS  # ns between steps: what comes together is one step
WAITING_MOST = (
    8000  # events that wait while no call gets through: a minute and more of reports; older ones tell nothing
)
TIDY = 10 * S  # ns between looks for ids that nothing needs any more: as often as the module's sweep
