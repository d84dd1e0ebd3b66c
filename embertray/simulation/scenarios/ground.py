"""What a day says of its fleet, its load and who is struck, however it is played: drawn by one generator a
purpose.
"""

from dataclasses import replace
from pathlib import Path

from hdrh.histogram import HdrHistogram

from embertray.service.site import load as load_site
from embertray.service.site.schema import SITE_FOLDER as SITES
from embertray.service.site.values import parse_duration as span
from embertray.simulation.models.backend import Shape
from embertray.simulation.models.chance import Streams
from embertray.simulation.models.load import Bursts, Poisson, Varying, flash, wave

from .notation import BadDay

S = 10**9
SETTLE = 4 * S  # ns after the last request that a day goes on: rules still count there
START_AFTER = S // 5  # ns between the controllers' start and the proxies'
LONGEST = 60 * 10**6  # us; what takes longer counts as this in histograms


def histogram():
    """Of us that requests took, three digits exact."""
    return HdrHistogram(1, LONGEST, 3)


class Ground:
    """`zero`: when the proxies come, ns; `factors` and `shifted`: what troubles do to the load."""

    def __init__(self, day, seed):
        self.day, self.chance = day, Streams(seed)
        sample = Path(day.site)
        if not sample.suffix:
            sample = SITES / "samples" / f"{day.site}.xml"
        self.sample = sample
        site = load_site(sample)
        self.site = site.at(
            **{
                k: type(getattr(site, k))(float(v)) if not isinstance(getattr(site, k), str) else v
                for k, v in day.facts.items()
            }
        )
        wanted, there = int(day.fleet["controllers"]), list(self.site.controllers)
        for n in range(len(there), wanted):  # more than the description names: alike, zone by zone
            there.append(
                replace(
                    there[n % len(self.site.controllers)],
                    name=f"c{n + 1}",
                    zone=site.zones[n % len(site.zones)],
                )
            )
        self.site = self.site.at(controllers=tuple(there))
        self.backends, self.proxies, self.models = [], [], {}
        self.zero, self.factors, self.shifted = 0, {}, {}
        self.count = int(day.fleet["proxies"])

    def machines(self):
        """(number, zone, speed) of each backend that is there from the start."""
        draw = self.chance.of("machines")
        low, _, high = self.day.fleet["speed"].partition("..")
        zones = self.site.zones
        for n in range(int(self.day.fleet["backends"])):
            yield n, zones[n % len(zones)], float(low) + (float(high or low) - float(low)) * draw.random()

    def shape(self, speed):
        fleet = self.day.fleet
        return Shape(
            int(fleet["cores"]),
            speed,
            int(fleet["queue"]),
            int(fleet["cap"]),
            self.site.cold_from,
            self.site.warm_after,
            sharing=fleet["sharing"] == "yes",
            thrash=float(fleet["thrash"]),
        )

    def shares(self):
        """Each proxy's share of the requests."""
        skew, draw = float(self.day.load["skew"]), self.chance.of("shares")
        shares = [(1 + skew * (2 * draw.random() - 1)) for _ in range(self.count)]
        total = sum(shares)
        return [share / total for share in shares]

    def mix(self):
        """[(RequestKind, share, mean work ns)]"""
        works = self.table(self.day.load["work"], lambda kind: kind.response_target // 10, span)
        parts = self.table(
            self.day.load["share"], lambda kind: 1.0, lambda text: float(text.rstrip("%")) / 100
        )
        total = sum(parts.values())
        return [(kind, parts[kind] / total, works[kind]) for kind in self.site.kinds]

    def table(self, text, usual, read):
        """'view:80ms,post:50ms' by request kind."""
        given = dict(part.split(":") for part in text.split(",") if part)
        return {
            kind: read(given[kind.external_id]) if kind.external_id in given else usual(kind)
            for kind in self.site.kinds
        }

    def standing(self, rng, zone, models):
        """The names that a proxy of that zone holds before any controller has spoken."""
        near = [m.name for m in models if m.zone == zone] or [m.name for m in models]
        pool = near if len(near) >= min(3, self.site.standing) else [m.name for m in models]
        return [str(x) for x in rng.permutation(pool)[: self.site.standing]]

    def way(self, n):
        """ns from a proxy's socket to an order's effect: about the site's mean, never past its most."""
        rng, site = self.chance.of("way", n), self.site
        return lambda: min(site.way_most, int(site.way_mean * (0.5 + rng.random())))

    def rate(self, n, usual):
        """requests a second of proxy n's clients, by time."""
        ramp, profile = span(self.day.load["ramp"]), self.profile(n)

        def now_rate(now):
            part = min(1.0, (now - self.zero) / ramp) if ramp else 1.0
            if profile:
                part *= profile(now)
            return usual * part * self.factors.get(n, 1.0) * self.shifted.get(self.proxies[n].zone, 1.0)

        return now_rate

    def profile(self, n):
        """How the load changes by itself: a factor by time, or None."""
        load = self.day.load
        name, times, period = load["source"], float(load["times"]), span(load["period"])
        if name == "poisson":
            return None
        if name == "wave":
            return wave((times - 1) / (times + 1), period, self.zero)
        if name == "flash":
            return flash(times, self.zero + span(load["at"]), period // 10, period, period // 4)
        if name == "bursty":
            return Bursts(times, period * 4 // 5, period // 5, self.chance.of("bursts", n), self.zero)
        raise BadDay(f"load has no source '{name}'; there are poisson, wave, flash, bursty")

    def source(self, n, usual):
        return (Poisson if self.day.load["source"] == "poisson" else Varying)(self.rate(n, usual))

    def strike(self, targets, things):
        """What a trouble's targets name: b2 the second, 20% the first fifth in an order drawn for it."""
        found = []
        for target in targets:
            if isinstance(target, float):
                order = self.chance.of("strike", len(things)).permutation(len(things))
                found += [things[k] for k in order[: max(1, round(target * len(things)))]]
            else:
                found.append(things[int(target[1:]) - 1])
        return found

    def outcomes(self):
        """kind -> (requests asked, done, late, lost)"""
        found = {kind: [0, 0, 0, 0] for kind in self.site.kinds}
        for _, kind, how, _ in self.eyes.reqs:
            found[kind][0] += 1
            found[kind][("done", "late", "lost").index(how) + 1] += 1
        return found

    def took(self):
        """The histogram of what done and late requests took."""
        found = histogram()
        for _, _, how, took in self.eyes.reqs:
            if how != "lost":
                found.record_value(max(1, min(LONGEST, took // 1000)))
        return found

    def line(self):
        """[credit earned of credit asked] for each second of the load, by when requests came; None where none
        came.
        """
        asked, got = {}, {}
        for at, kind, how, _ in self.eyes.reqs:
            second = (at - self.zero) // S
            asked[second] = asked.get(second, 0.0) + kind.credit
            got[second] = (
                got.get(second, 0.0)
                + kind.credit * {"done": 1.0, "late": self.site.late_credit[kind], "lost": 0.0}[how]
            )
        return [
            round(got[n] / asked[n], 4) if n in asked else None for n in range(max(asked, default=-1) + 1)
        ]
