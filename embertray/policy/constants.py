"""The constants of all decisions: value, unit, reason."""

MS, S = 10**6, 10**9
AGO, LEAST, MEANS = 9, 0.35, 200  # beats compared; work itself: of the target, or least mean of beats
BEAT, SOLVE, SWEEP = 250 * MS, 2 * S, 10 * S  # ns; under a report cycle; two cycles; the page's sweep
WINDOW, SHORT = 8 * S, 4 * S  # ns; some 50 answers a backend, against chance; the last reports, for health
KEEP, FORGET = 64, 60 * S  # samples: three zones' reports over WINDOW; ns: past any window, retry, grace
MOVE, STEP, LOADED = 0.20, 0.25, 0.15  # share; the page's threshold of a move; its most; off the told median
EASE, RATIO = 0.15, 1.4  # of the target: less fills no fast machine; x: past it latency tells of a queue
HEARD, CAP_LOW, CAP_HIGH = 8, 0.3, 2.0  # tries: fewer say nothing; x average: hardly heard, carries too much
SICK, SICK_TRIES = 0.35, 8  # share failed above the peers' quartile, and of how many tries: past chance
SICK_MOST = 0.6  # share of the ready ones cut at most: a zone may be lost, but never nearly all
BACK, BACK_TRIES, MUTE = 2.0, 2, 12 * S  # x a solve on the way back, after good tries or none so long
TRICKLE, HOME = 0.06, 0.9  # of its weight at least, for a sick one, to hear of it; of requests, kept at home
COLD_PART, COLD_TOP, TWICE = 0.5, 0.95, 0.42  # of the load it falls under; most until warm; x in draws
PATIENCE, RETRY_CAP = 1 * S, 8 * S  # ns; a nonce's least, as proxies stand still; repeats, under the sweep
SLOWEST, WAVES, PACE = 20, 2, 3  # x; pace counted on; less room if slow; a push's time to the next: heads
URGENT, BINDS, HASTY, ORDINARY = (0.8, 1), (0.6, 1), (0.35, 4), (0.25, 7)  # of lines, messages kept
PARTED, LINES_LEAST, USERS = 0.7, 8, 5  # of the grace, to bind all in; lines, proxies a table has at least
COVER, GROWN, IDLE = 4, 1.5, 0.25  # x tables a line; x parts there are; share of the mean, as joiners come
LACKS, MOVES = 0.25, 4  # share that a part lacks until lines move to it; moves a beat, as they cost lines
HIGH, LOW, EMPTY = 0.38, 0.2, 0.5  # of the target: wait to shed, let in at; x told over WINDOW: jam is over
LOOK, DONE_KEEP, CALM = 1 * S, 40, 5  # ns between looks; looks whose most done can be done; with no queue
SURE, SURE_LOOKS, SHRUNK, ROOMY = 1.3, 10, 0.85, 0.7  # x most done; looks; so shrunk; busy so little: no cut
DEEP, DRAIN, FULL = 0.45, 0.75, 0.95  # x the most done: while queues drain, the deeper the slower; and then
AGAIN, GROW, FIND, FALLS = 0.9, 1.015, 1.1, 0.9  # x the goal as a queue is back; a look; if a guess; a fall
# of usual requests, let in least; just started; shed of a kind
LET_LEAST, LET_NEW, SHED_MOST = 0.3, 0.6, 0.97
LEVEL_MOVE, ALL_RATE = 0.08, 10**6  # share a level moves at least, as it costs lines; requests/s: no limit
MOST_FAIL, WARY = 0.3, 0.4  # failed share past which tries add to the fault; let in then if some are cold
ASK_FIRST, ASK_CAP = 500 * MS, 4 * S  # ns; asking the list again after a failure: first and longest delay
