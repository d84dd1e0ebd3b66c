"""The purposes of memory accounting, and the action taken when a purpose reaches its cap.

No action affects the correctness of the proxies' tables: removals are always processed, and no table line is
dropped.

- tables, list: new backends are held back, tombstones are forgotten, and the complete list is requested again
  once usage is below the cap. Known backends stay in service, and removals are processed.
- reports: the oldest waiting report lines are dropped and counted, as the newest are more useful.
- channel: the stream of the proxy with the most waiting lines is cut, so that the other proxies receive their
  lines. The proxy is bound again when it reconnects.
- streams, names: joins are rejected with a time after which to retry. Joined proxies are served.
- probes: health checks are skipped. Load reports give the same information later.
- cluster (if the site has one): new facts of other members are left out, known ones are updated. Later
  exchanges deliver them again once usage is below the cap.
"""

# Actions. Operators read these words in /memory and in the log.
HOLD = "hold"
DROP = "drop"
CUT = "cut"
REJECT = "turn away"
SKIP = "skip"
LEAVE_OUT = "leave out"

ACTIONS = {  # purpose -> action
    "tables": HOLD,
    "list": HOLD,
    "reports": DROP,
    "channel": CUT,
    "streams": REJECT,
    "names": REJECT,
    "probes": SKIP,
    "cluster": LEAVE_OUT,
}
