"""The purposes that memory is accounted by, and what is done when one reaches its cap.

Every action keeps the rules of the proxies' tables: removals always pass, no table line is taken away.

- tables, list: new backends wait, tombstones are forgotten, and the complete list is requested again once
  there is room. What is there serves on; what is gone leaves.
- reports: the oldest waiting report lines are dropped and counted. The newest tell more.
- channel: the stream of the proxy with the most waiting lines is cut. The others get theirs; it is bound anew
  when it is back.
- streams, names: joins are rejected, with a time to come back. Who is there is served.
- probes: health checks are skipped. They are extra: load reports tell the same, later.
- cluster (where the site has one): new facts of others are left out, known ones are renewed. They come again
  with the next exchange once there is room.
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
