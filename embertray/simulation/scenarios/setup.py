"""The fleet, the load and the fault targets of a day, for all modes of playing it.

Each purpose draws from a generator of its own, so that a change to one does not affect the draws of others.
"""

from dataclasses import replace
from pathlib import Path

from embertray.service.site import load as load_site
from embertray.service.site.schema import SITE_FOLDER as SITES
from embertray.service.site.values import parse_duration
from embertray.simulation.models.arrivals import Bursts, Poisson, Varying, flash, wave
from embertray.simulation.models.backend import Shape
from embertray.simulation.models.random_streams import RandomStreams

from .exceptions import DayError
from .outcome_summary import OutcomeSummary

SECOND_NS = 10**9
SETTLE_NS = 4 * SECOND_NS  # that a day continues after its last request, with the rules in force
PROXY_START_DELAY_NS = SECOND_NS // 5  # from the start of the controllers
MIN_ZONE_BACKENDS = 3  # in a proxy's zone; with fewer, its standing table has backends of all zones


class ScenarioSetup(OutcomeSummary):
    """The site, fleet and load of a day; base class of the stage of each mode.

    Attributes:
        site: the day's site, with the overridden fields and the day's number of controllers.
        sample: the site file.
        backends: the stand-ins or simulated backends, in order of their numbers.
        proxies: the same of proxies.
        models: backend -> its model.
        count: number of proxies.
        load_start: when the proxies start, ns.
        proxy_factors: proxy number -> factor of its load, set by faults.
        zone_factors: zone -> factor of the load of its proxies, set by faults.

    Args:
        day: the Day to play.
        seed: the seed of all draws.
    """

    def __init__(self, day, seed):
        self.day = day
        self.random_streams = RandomStreams(seed)
        self.sample = Path(day.site)
        if not self.sample.suffix:
            self.sample = SITES / "samples" / f"{day.site}.xml"
        self.site = with_controllers(
            with_site_fields(load_site(self.sample), day.site_fields), int(day.fleet["controllers"])
        )
        self.backends = []
        self.proxies = []
        self.models = {}
        self.load_start = 0
        self.proxy_factors = {}
        self.zone_factors = {}
        self.count = int(day.fleet["proxies"])

    def draw_machines(self):
        """Yields (number, zone, speed) of each backend that exists from the start."""
        draw = self.random_streams.of("machines")
        low, _, high = self.day.fleet["speed"].partition("..")
        zones = self.site.zones
        for n in range(int(self.day.fleet["backends"])):
            yield n, zones[n % len(zones)], float(low) + (float(high or low) - float(low)) * draw.random()

    def shape(self, speed):
        """Returns the Shape of a backend; at speed 1.0 a request takes its kind's work."""
        fleet = self.day.fleet
        return Shape(
            int(fleet["cores"]),
            speed,
            int(fleet["queue"]),
            int(fleet["cap"]),
            self.site.cold_speed,
            self.site.warm_up_time,
            sharing=fleet["sharing"] == "yes",
            thrash=float(fleet["thrash"]),
        )

    def draw_shares(self):
        """Draws each proxy's share of the requests."""
        skew = float(self.day.load["skew"])
        draw = self.random_streams.of("shares")
        shares = [(1 + skew * (2 * draw.random() - 1)) for _ in range(self.count)]
        total = sum(shares)
        return [share / total for share in shares]

    def mix(self):
        """Returns [(RequestKind, share of the requests, mean work in ns)]."""
        works = self.by_kind(self.day.load["work"], lambda kind: kind.latency_objective // 10, parse_duration)
        weights = self.by_kind(self.day.load["share"], lambda kind: 1.0, read_percent)
        total = sum(weights.values())
        return [(kind, weights[kind] / total, works[kind]) for kind in self.site.kinds]

    def by_kind(self, text, default, read):
        """Returns a value for each request kind.

        Args:
            text: values by a kind's external identifier, as 'view:80ms,post:50ms'.
            default: returns the value of a kind that the text does not name.
            read: parses a value.
        """
        given = dict(part.split(":") for part in text.split(",") if part)
        return {
            kind: read(given[kind.external_id]) if kind.external_id in given else default(kind)
            for kind in self.site.kinds
        }

    def draw_standing_backends(self, rng, zone, models):
        """Draws the backends that a proxy of a zone uses before it has joined a controller."""
        near = [model.name for model in models if model.zone == zone] or [model.name for model in models]
        enough = len(near) >= min(MIN_ZONE_BACKENDS, self.site.standing)
        pool = near if enough else [model.name for model in models]
        return [str(name) for name in rng.permutation(pool)[: self.site.standing]]

    def channel_delay(self, n):
        """Returns the delay of orders from proxy n's socket to their effect.

        Returns:
            A function that draws ns, around the site's mean and at most its maximum.
        """
        rng = self.random_streams.of("way", n)
        site = self.site
        return lambda: min(site.channel_delay_max, int(site.channel_delay_mean * (0.5 + rng.random())))

    def rate_function(self, n, usual):
        """Returns the request rate of proxy n's clients over time.

        Args:
            n: the proxy's number, from 0.
            usual: its rate without profile and faults, requests a second.

        Returns:
            A function of the time in ns that gives requests a second.
        """
        ramp = parse_duration(self.day.load["ramp"])
        profile = self.load_profile(n)

        def rate_at(now):
            part = min(1.0, (now - self.load_start) / ramp) if ramp else 1.0
            if profile:
                part *= profile(now)
            return (
                usual
                * part
                * self.proxy_factors.get(n, 1.0)
                * self.zone_factors.get(self.proxies[n].zone, 1.0)
            )

        return rate_at

    def load_profile(self, n):
        """Returns the profile of proxy n's load, a factor by time in ns, or None. Raises DayError."""
        load = self.day.load
        name = load["source"]
        times = float(load["times"])
        period = parse_duration(load["period"])
        if name == "poisson":
            return None
        if name == "wave":
            return wave((times - 1) / (times + 1), period, self.load_start)
        if name == "flash":
            return flash(
                times, self.load_start + parse_duration(load["at"]), period // 10, period, period // 4
            )
        if name == "bursty":
            return Bursts(
                times, period * 4 // 5, period // 5, self.random_streams.of("bursts", n), self.load_start
            )
        raise DayError(f"load has no source '{name}'; there are poisson, wave, flash, bursty")

    def arrivals(self, n, usual):
        """Returns the arrival process of proxy n's clients; `usual` as in `rate_function`."""
        arrivals = Poisson if self.day.load["source"] == "poisson" else Varying
        return arrivals(self.rate_function(n, usual))

    def select_targets(self, targets, things):
        """Returns the processes that a fault's targets name.

        Args:
            targets: names, such as b2 for the second, and shares as floats, which select processes at random.
            things: all processes of the targets' kind, in order of their numbers.
        """
        found = []
        for target in targets:
            if isinstance(target, float):
                order = self.random_streams.of("strike", len(things)).permutation(len(things))
                found += [things[k] for k in order[: max(1, round(target * len(things)))]]
            else:
                found.append(things[int(target[1:]) - 1])
        return found


def with_site_fields(site, fields):
    """Returns the site with the values of a day, each converted to the type of the field.

    Args:
        site: the site as in its file.
        fields: field -> value as text.
    """
    changes = {}
    for name, text in fields.items():
        value = getattr(site, name)
        changes[name] = text if isinstance(value, str) else type(value)(float(text))
    return site.at(**changes)


def with_controllers(site, wanted):
    """Returns the site with at least `wanted` controllers; added ones are copies in successive zones."""
    own = site.controllers
    more = [
        replace(own[n % len(own)], name=f"c{n + 1}", zone=site.zones[n % len(site.zones)])
        for n in range(len(own), wanted)
    ]
    return site.at(controllers=(*own, *more))


def read_percent(text):
    """Returns a percentage as a share: 0.3 for '30%'."""
    return float(text.rstrip("%")) / 100
