"""The start settings: flat path=value pairs of the bench's wire, or the same names nested in JSON.

Names are the operators' (their dialect's); they end here. Times there are microseconds, here nanoseconds.
"""

from embertray.policy import interface as i

US = 1000
IDEMPOTENCY = {
    "read_like": "replayable",
    "idempotency_key": "deduplicated",
    "non_idempotent": "non-replayable",
}
THROTTLE_MODES = {"silent": "none"}
# load reports, by the dialect's names and by the common ones
LOAD_METRICS = {
    "active": "held",
    "waiting": "waiting",
    "cpu": "busy",
    "avg_ms": "service_ms",
    "rps": "rate",
    "err_rps": "errored_rate",
    "inflight": "held",
    "queue": "waiting",
    "util": "busy",
    "latency_ms": "service_ms",
    "qps": "rate",
    "eps": "errored_rate",
}


class SettingsError(ValueError):
    """A value can't be read; the text names it and its key."""


def flat(nested, path=""):
    """Nested JSON as the wire's pairs: {'a': {'b': [1, 2]}} gives {'a.b': '1,2'}; lists of objects get
    .count, .0, .1. Raises SettingsError for a list of objects and others.
    """
    found = {}
    for name, value in nested.items():
        key = path + name
        if isinstance(value, dict):
            found.update(flat(value, key + "."))
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            found[key + ".count"] = str(len(value))
            for k, one in enumerate(value):
                if not isinstance(one, dict):
                    raise SettingsError(f"'{one}' among the objects of {key}")
                found.update(flat(one, f"{key}.{k}."))
        elif isinstance(value, list):
            found[key] = ",".join(map(plain, value))
        elif value is not None:
            found[key] = plain(value)
    return found


def plain(value):
    return str(value).lower() if isinstance(value, bool) else str(value)


def number(text):
    """A finite float. Raises ValueError."""
    value = float(text)
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(text)
    return value


class StartSettings:
    """Reads one instance's settings. `kinds`: name -> RequestKind, whose `external_id` is its place;
    `reports`: our names of a load report's values in their order; `zones`: names. Raises SettingsError.
    """

    def __init__(self, raw):
        self.raw = raw
        self.reports = [LOAD_METRICS.get(name, name) for name in self.names("feedback.fields")]
        self.zones, self.proxies = self.names("zones"), int(self.figure("specifics.agents"))
        self.tick = self.time("tick")
        self.kinds = {}
        for k in range(int(self.figure("profiles.count"))):
            kind = i.RequestKind(
                self.time(f"profiles.{k}.aim"),
                self.time(f"profiles.{k}.deadline"),
                self.figure(f"profiles.{k}.worth", 1.0),
                IDEMPOTENCY.get(self.text(f"profiles.{k}.effect"), "non-replayable"),
                self.text(f"profiles.{k}.group", "all"),
                k,
            )
            self.kinds[self.text(f"profiles.{k}.name", str(k))] = kind

    @classmethod
    def nested(cls, settings):
        """From the JSON object of a platform's configuration."""
        return cls(flat(settings))

    def deployment(self, identifiers):
        """What the decision module is told at its start; zones become objects of `identifiers`."""
        return i.Deployment(
            kinds=list(self.kinds.values()),
            zones=[identifiers.zone(name) for name in self.zones],
            home=identifiers.zone(self.text("az")),
            controllers=int(self.figure("balancers", 1)),
            proxies=self.proxies,
            ask=self.text("discovery") == "ask",
            ask_within=self.time("contract.must-ask-in"),
            may_probe=self.yes("caps.probes"),
            throttle=THROTTLE_MODES.get(
                self.text("specifics.throttle-by"), self.text("specifics.throttle-by", "none")
            ),
            pick=self.text("specifics.selects-by", "weighted"),
            retry_base=int(self.figure("specifics.base-mode")),
            slices=int(self.figure("specifics.partitions-n")),
            bare_limit=self.time("specifics.blackhole"),
            pending_max=self.figure("specifics.pending-max"),
            channel_rate=self.figure("specifics.channel-rate"),
            head=self.figure("specifics.head"),
            way_mean=self.time("specifics.push-delay"),
            way_max=self.time("specifics.push-delay-max"),
            messages_max=int(self.figure("specifics.messages-most")),
            messages_window=self.time("specifics.update-window"),
            report_cycle=self.time("specifics.cycle"),
            cold_from=self.figure("contract.cold-from", 1.0),
            warm_after=self.time("contract.warm-after"),
            fall_multiple=self.figure("contract.fall-multiple"),
            fall_after=self.time("contract.fall"),
            drain_grace=self.time("contract.drain-grace"),
            cross_fee=self.figure("fees.cross-zone"),
            drops_bind=not self.yes("contract.dropped-stay-open"),
        )

    def text(self, key, other=""):
        return self.raw.get(key, other)

    def names(self, key):
        return [name for name in self.text(key).split(",") if name]

    def figure(self, key, other=0.0):
        try:
            return number(self.raw[key]) if key in self.raw else other
        except ValueError:
            raise SettingsError(f"'{self.raw[key]}' is no good value for {key}") from None

    def time(self, key):
        return int(self.figure(key + "-us") * US)

    def yes(self, key):
        return self.text(key) in ("true", "1")
