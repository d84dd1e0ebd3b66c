"""The words of the notation of days: faults with their targets, settings of the fleet and the load."""

# fault -> its targets: b backends, p proxies, c controllers, l links (with processes only), - none
FAULTS = {
    "crash": "b",
    "vanish": "b",
    "slow": "b",
    "hang": "b",
    "errors": "b",
    "kind-fails": "b",
    "flap": "b",
    "deploy": "b",
    "preempt": "b",
    "false-reports": "b",
    "one-sided": "b",
    "add": "-",
    "reconnect": "p",
    "cut-off": "p",
    "stall": "pc",
    "late-reports": "p",
    "hot": "p",
    "deaf": "p",
    "half-message": "p",
    "twice": "p",
    "garbage": "c",
    "kill": "c",
    "old-list": "c",
    "short-list": "-",
    "lagging-list": "-",
    "slow-channel": "c",
    "list-down": "-",
    "shift": "-",
    "rejoin-list": "b",
    "restart": "c",
    "slow-start": "c",
    "lossy": "l",
    "repeated": "l",
    "lagged": "l",
    "silent": "l",
    "flutter": "l",
    "reset": "l",
    "split": "-",
}
LINKS = ("lossy", "repeated", "lagged", "silent", "flutter", "reset", "split")

FLEET = {
    "backends": 6,
    "proxies": 4,
    "controllers": 1,
    "cores": 2,
    "speed": "1.0",
    "queue": 24,
    "cap": 300,
    "notice": "800ms",
    "silent-notice": "4s",
    "answers": "50ms",
    "spread": "300ms",
    "sharing": "no",
    "thrash": 0.0,
    "cross": "0ms",
    "cluster": "no",
    "period": "200ms",
}
LOAD = {
    "retries": 1,
    "work": "",
    "share": "",
    "skew": 0.0,
    "ramp": "0s",
    "source": "poisson",
    "times": 3,
    "period": "10s",
    "at": "5s",
}


def target_kind(target):
    """Returns the kind of a target: b, p, c, or l for a link."""
    return "l" if ">" in target else target[0]


def target_names(target):
    """Returns the names in a target: two for a link."""
    return target.replace("<>", ">").split(">")


def link_pairs(target):
    """Returns the directed links of a target: c1>c2 is one, c1<>c2 two."""
    first, second = target_names(target)
    return [(first, second), (second, first)] if "<>" in target else [(first, second)]
