"""Reads the start settings: flat path=value pairs of the bench's protocol, or the same names nested in JSON.

Keys, values and metric names of the operators are translated here to the policy's terms, and microseconds to
nanoseconds.
"""

from embertray.policy import interface as i

from .exceptions import NotFiniteError, SettingsError

NS_PER_US = 1000

# The operators' term -> the policy's: whether a request may run again.
IDEMPOTENCY = {
    "read_like": "replayable",
    "idempotency_key": "deduplicated",
    "non_idempotent": "non-replayable",
}
NOT_IDEMPOTENT = "non-replayable"  # also for a term that IDEMPOTENCY lacks

# The operators' term -> the policy's, where they differ: what an admission level limits.
THROTTLE_MODES = {"silent": "none"}

# The operators' term -> the policy's: metrics of a load report, by this platform's names and by common ones.
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

# Keys that other modules read too.
SLICES_KEY = "specifics.partitions-n"  # number of slices that the tables belong to
PROBES_KEY = "caps.probes"  # whether health checks are allowed
PEER_MESSAGES_KEY = "caps.peer-messages"  # whether messages to other controllers are allowed


def flatten(nested, path=""):
    """Turns nested JSON into flat pairs: {'a': {'b': [1, 2]}} becomes {'a.b': '1,2'}.

    A list of objects becomes the keys .count, .0, .1 and so on; null values are left out.

    Raises:
        SettingsError: A list mixes objects and other values.
    """
    pairs = {}
    for name, value in nested.items():
        key = path + name
        if isinstance(value, dict):
            pairs.update(flatten(value, key + "."))
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            pairs.update(flatten_objects(value, key))
        elif isinstance(value, list):
            pairs[key] = ",".join(map(as_text, value))
        elif value is not None:
            pairs[key] = as_text(value)
    return pairs


def flatten_objects(objects, key):
    """Returns the pairs of a list of objects. Raises SettingsError if it has other values."""
    pairs = {key + ".count": str(len(objects))}
    for index, value in enumerate(objects):
        if not isinstance(value, dict):
            raise SettingsError(f"{key} mixes objects and other values: '{value}'")
        pairs.update(flatten(value, f"{key}.{index}."))
    return pairs


def as_text(value):
    """Returns a JSON value as the text that the flat pairs hold."""
    return str(value).lower() if isinstance(value, bool) else str(value)


def parse_float(text):
    """Parses a finite float.

    Raises:
        NotFiniteError: The number is infinite or NaN.
        ValueError: The text is not a number.
    """
    value = float(text)
    if value != value or value in (float("inf"), float("-inf")):
        raise NotFiniteError(text)
    return value


class StartSettings:
    """The settings of one controller.

    Attributes:
        raw: Key -> text.
        request_kinds: Name -> interface.RequestKind, whose `external_id` is its index in the settings.
        load_metrics: Names of the values of a load report, in their order.
        zones: Names of the zones.
        proxies: Number of proxies.
        tick: Tick of the bench's clock, ns.
    """

    def __init__(self, raw):
        """Reads the settings from `raw`, key -> text. Raises SettingsError."""
        self.raw = raw
        self.load_metrics = [LOAD_METRICS.get(name, name) for name in self.names("feedback.fields")]
        self.zones = self.names("zones")
        self.proxies = int(self.float_value("specifics.agents"))
        self.tick = self.time("tick")
        self.request_kinds = {}
        for index in range(int(self.float_value("profiles.count"))):
            name = self.text(f"profiles.{index}.name", str(index))
            self.request_kinds[name] = self.request_kind(index)

    @classmethod
    def from_nested(cls, settings):
        """Creates the settings from the JSON object of a platform's configuration. Raises SettingsError."""
        return cls(flatten(settings))

    def request_kind(self, index):
        """Returns the interface.RequestKind at an index of the settings' list. Raises SettingsError."""
        return i.RequestKind(
            self.time(f"profiles.{index}.aim"),
            self.time(f"profiles.{index}.deadline"),
            self.float_value(f"profiles.{index}.worth", 1.0),
            IDEMPOTENCY.get(self.text(f"profiles.{index}.effect"), NOT_IDEMPOTENT),
            self.text(f"profiles.{index}.group", "all"),
            index,
        )

    def deployment(self, identifiers):
        """Returns the interface.Deployment that the policy starts with.

        Args:
            identifiers: The Identifiers, which create the zones' handles.

        Raises:
            SettingsError: A value can't be read.
        """
        return i.Deployment(
            kinds=list(self.request_kinds.values()),
            zones=[identifiers.zone(name) for name in self.zones],
            home=identifiers.zone(self.text("az")),
            controllers=int(self.float_value("balancers", 1)),
            proxies=self.proxies,
            ask=self.text("discovery") == "ask",
            ask_within=self.time("contract.must-ask-in"),
            may_probe=self.flag(PROBES_KEY),
            throttle=THROTTLE_MODES.get(
                self.text("specifics.throttle-by"), self.text("specifics.throttle-by", "none")
            ),
            pick=self.text("specifics.selects-by", "weighted"),
            retry_base=int(self.float_value("specifics.base-mode")),
            slices=int(self.float_value(SLICES_KEY)),
            no_backend_limit=self.time("specifics.blackhole"),
            pending_max=self.float_value("specifics.pending-max"),
            channel_rate=self.float_value("specifics.channel-rate"),
            head=self.float_value("specifics.head"),
            channel_delay_mean=self.time("specifics.push-delay"),
            channel_delay_max=self.time("specifics.push-delay-max"),
            messages_max=int(self.float_value("specifics.messages-most")),
            messages_window=self.time("specifics.update-window"),
            report_interval=self.time("specifics.cycle"),
            cold_speed=self.float_value("contract.cold-from", 1.0),
            warm_up_time=self.time("contract.warm-after"),
            overload_multiple=self.float_value("contract.fall-multiple"),
            overload_time=self.time("contract.fall"),
            drain_grace=self.time("contract.drain-grace"),
            cross_zone_cost=self.float_value("fees.cross-zone"),
            omission_removes=not self.flag("contract.dropped-stay-open"),
        )

    def text(self, key, default=""):
        """Returns the text of a key."""
        return self.raw.get(key, default)

    def names(self, key):
        """Returns the comma-separated names of a key, without empty ones."""
        return [name for name in self.text(key).split(",") if name]

    def float_value(self, key, default=0.0):
        """Returns the finite number of a key. Raises SettingsError."""
        try:
            return parse_float(self.raw[key]) if key in self.raw else default
        except ValueError:
            raise SettingsError(f"'{self.raw[key]}' is not a valid value for {key}") from None

    def time(self, key):
        """Returns a time in ns; `key` lacks the ending -us of the setting. Raises SettingsError."""
        return int(self.float_value(key + "-us") * NS_PER_US)

    def flag(self, key):
        """Returns whether a key's value is true."""
        return self.text(key) in ("true", "1")
