"""Loads a site description: XML checked against site.xsd by lxml, then the few checks that a schema can't
state.
"""

from dataclasses import dataclass, field, replace
from functools import cache
from pathlib import Path

from lxml import etree

from embertray.policy import interface as i

from .control import Control, read_control
from .values import Addresses, BadSite, size, time

HERE = Path(__file__).resolve().parent
FORMER_AGAIN = {"uniqued": "deduplicated"}  # words of older descriptions


@dataclass(frozen=True)
class ControllerAt:
    """One controller: where its proxies and its operators reach it."""

    name: str
    zone: str
    listen: str
    admin: str
    cluster: str = ""  # where other controllers reach it, if the site has a cluster
    region: str = ""  # whose control replicas it follows first


@dataclass(frozen=True)
class Cluster:
    """What the site says of its cluster: ns between two probes, bytes of shared state, bytes a second for
    it.
    """

    name: str
    period: int
    state: int
    rate: int


@dataclass(frozen=True, eq=False)
class Site:
    """A deployment's facts. Times in ns, rates a second. `kinds` are interface.RequestKind, their names at
    `external_id`.
    """

    name: str
    tick: int
    zones: tuple
    kinds: tuple
    late_credit: dict
    windows: dict
    proxies: int
    picks: str
    levels: str
    standing: int
    base_retry: int
    per_try: float
    eject_after: int
    bare_limit: int
    channel_rate: float
    pending_max: float
    head: float
    way_mean: int
    way_most: int
    messages_max: int
    messages_window: int
    report_cycle: int
    reports_rate: float
    cold_from: float
    warm_after: int
    fall_multiple: float
    fall_after: int
    drain_grace: int
    dropped_bind: bool
    full_may_have_run: bool
    probes: bool
    cross_cost: float
    inventory: str
    ask: bool
    ask_within: int
    keep: str
    controllers: tuple
    backends: int = 64
    caps: dict = field(default_factory=dict)  # purpose -> bytes, where the description says
    cluster: Cluster | None = None
    control: Control | None = None

    def controller(self, name):
        """Raises BadSite for a name that is not there."""
        for one in self.controllers:
            if one.name == name:
                return one
        raise BadSite(
            f"{self.name}: no controller '{name}' (there are {', '.join(c.name for c in self.controllers)})"
        )

    def at(self, **other):
        """The same site with other facts, as for ports that are only known once something listens."""
        return replace(self, **other)

    def deployment(self, me, identifiers):
        """What the decision module is told at its start; zones become objects of `identifiers`."""
        return i.Deployment(
            kinds=list(self.kinds),
            zones=[identifiers.zone(name) for name in self.zones],
            home=identifiers.zone(me.zone),
            controllers=len(self.controllers),
            proxies=self.proxies,
            ask=self.ask,
            ask_within=self.ask_within,
            may_probe=self.probes,
            throttle=self.levels,
            pick=self.picks,
            retry_base=self.base_retry,
            bare_limit=self.bare_limit,
            pending_max=self.pending_max,
            channel_rate=self.channel_rate,
            head=self.head,
            way_mean=self.way_mean,
            way_max=self.way_most,
            messages_max=self.messages_max,
            messages_window=self.messages_window,
            report_cycle=self.report_cycle,
            cold_from=self.cold_from,
            warm_after=self.warm_after,
            fall_multiple=self.fall_multiple,
            fall_after=self.fall_after,
            drain_grace=self.drain_grace,
            cross_fee=self.cross_cost,
            drops_bind=self.dropped_bind,
        )


@cache
def schema():
    return etree.XMLSchema(etree.parse(HERE / "site.xsd"))


def load(path):
    """The Site of an XML file. Raises BadSite with file, line and what was expected."""
    parser = etree.XMLParser(resolve_entities=False, no_network=True, remove_comments=True)
    try:
        tree = etree.parse(str(path), parser)
    except OSError as wrong:
        raise BadSite(f"{path}: {wrong.args[0] if wrong.args else wrong}") from None
    except etree.XMLSyntaxError as wrong:
        raise BadSite(f"{path}:{wrong.lineno}: not well-formed XML: {wrong.msg}") from None
    if not schema().validate(tree):  # validating also fills in the defaults
        first = schema().error_log[0]
        wanted = next((text for pattern, text in expected().items() if f"'{pattern}'" in first.message), None)
        said = first.message.split(" [facet")[0].split(": [facet")[0] if wanted else first.message
        raise BadSite(f"{path}:{first.line}: {said}" + (f": {wanted} is expected" if wanted else ""))
    return read(tree.getroot(), path)


def read(root, path):
    defaults = attribute_defaults()

    def part(name):
        element = root.find(name)
        return element, {**defaults.get(name, {}), **element.attrib}

    def true(text):
        return text in ("true", "1")

    kinds, late, windows = [], {}, {}
    for element in root.find("request-kinds"):
        got = {**defaults["kind"], **element.attrib}
        kind = i.RequestKind(
            time(got["response-target"]),
            time(got["client-timeout"]),
            float(got["credit"]),
            FORMER_AGAIN.get(got["again"], got["again"]),
            got["group"],
            got["name"],
        )
        if kind.client_timeout < kind.response_target:
            raise BadSite(
                f"{path}:{element.sourceline}: kind {kind.external_id}: "
                "client-timeout is under response-target"
            )
        kinds.append(kind)
        late[kind], windows[kind] = float(got["late-credit"]), time(got["window"])
    (_, proxy), (channel_at, channel), (_, reports), (_, backend), (at, inventory) = (
        part(name) for name in ("proxies", "channel", "reports", "backends", "inventory")
    )
    if not (rate := float(channel["lines-per-second"])) > 0:
        raise BadSite(f"{path}:{channel_at.sourceline}: channel: lines-per-second must be over 0")
    controllers, addresses = [], Addresses(path)
    for element in root.find("controllers"):
        keys = ("name", "zone", "listen", "admin", "cluster", "region")
        controllers.append(ControllerAt(*(element.get(key, "") for key in keys)))
        for key in ("listen", "admin", "cluster"):
            if address := element.get(key, ""):
                addresses.take(element, address)
    addresses.check(at, inventory["address"])
    cluster = None
    if (clustered := root.find("cluster")) is not None:
        got = {**defaults["cluster"], **clustered.attrib}
        cluster = Cluster(
            root.get("name"), time(got["period"]), size(got["state"]), size(got["bytes-per-second"])
        )
        if cluster.period < 50 * 10**6:
            raise BadSite(f"{path}:{clustered.sourceline}: cluster: a period of 50ms at least is expected")
        for one, element in zip(controllers, root.find("controllers"), strict=False):
            if not one.cluster or one.cluster.endswith(":0"):
                raise BadSite(
                    f"{path}:{element.sourceline}: controller {one.name}: a cluster needs its "
                    "address, with a port that others know"
                )
    return Site(
        root.get("name"),
        time(root.get("tick", "5ms")),
        tuple(z.get("name") for z in root.find("zones")),
        tuple(kinds),
        late,
        windows,
        int(proxy["expected"]),
        proxy["picks"],
        proxy["levels"],
        int(proxy["standing"]),
        int(proxy["base-retry"]),
        float(proxy["per-try"]),
        int(proxy["eject-after"]),
        time(proxy["bare-limit"]),
        rate,
        float(channel["lines-waiting"]),
        float(channel["head"]),
        time(channel["way-mean"]),
        time(channel["way-most"]),
        int(channel["messages"]),
        time(channel["messages-within"]),
        time(reports["cycle"]),
        float(reports["lines-per-second"]),
        float(backend["cold-from"]),
        time(backend["warm-after"]),
        float(backend["fall-multiple"]),
        time(backend["fall-after"]),
        time(backend["drain-grace"]),
        true(backend["dropped-bind"]),
        true(backend["full-may-have-run"]),
        true(backend["probes"]),
        float(backend["cross-zone-cost"]),
        inventory["address"],
        inventory["mode"] == "ask",
        time(inventory["ask-within"]),
        inventory["keep"],
        tuple(controllers),
        int(backend["expected"]),
        {cap.get("purpose"): size(cap.get("bytes")) for cap in root.iterfind("memory/cap")},
        cluster,
        read_control(root, path, defaults, addresses),
    )


@cache
def expected():
    """What a pattern of the schema stands for, in words: pattern -> its type's documentation."""
    tag = "{http://www.w3.org/2001/XMLSchema}"
    return {
        kind.find(f".//{tag}pattern").get("value"): kind.findtext(f".//{tag}documentation")
        for kind in etree.parse(HERE / "site.xsd").iter(tag + "simpleType")
        if kind.find(f".//{tag}pattern") is not None
    }


@cache
def attribute_defaults():
    """Defaults as the schema states them, by element: said in one place only."""
    found, tag = {}, "{http://www.w3.org/2001/XMLSchema}"
    for element in etree.parse(HERE / "site.xsd").iter(tag + "element"):
        for attribute in element.iterfind(f"./{tag}complexType/{tag}attribute"):
            if attribute.get("default") is not None:
                found.setdefault(element.get("name"), {})[attribute.get("name")] = attribute.get("default")
    return found
