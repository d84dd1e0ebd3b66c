"""The model of a site's description: facts of the deployment only, no tuned values of the policy."""

from dataclasses import dataclass, field, replace

from embertray.policy import interface as i

from .control import ControlSettings
from .exceptions import SiteError


@dataclass(frozen=True)
class SiteController:
    """One controller.

    Attributes:
        name: Its name.
        zone: Its zone's name.
        listen: Where proxies reach it.
        admin: Where operators reach it.
        cluster: Where other controllers reach it; empty: the site has no cluster.
        region: Its region, whose control replicas it prefers.
    """

    name: str
    zone: str
    listen: str
    admin: str
    cluster: str = ""
    region: str = ""


@dataclass(frozen=True)
class ClusterSettings:
    """The cluster of a site.

    Attributes:
        name: The site's name, by which members recognise each other.
        period: Time between two probes, ns.
        state: Most bytes of shared state.
        rate: Rate limit of the shared state, bytes per second.
    """

    name: str
    period: int
    state: int
    rate: int


@dataclass(frozen=True, eq=False)
class Site:
    """A deployment's facts.

    Attributes:
        name: Its name.
        tick: Least time between two steps of a controller, ns.
        zones: Names of the zones.
        kinds: The interface.RequestKinds, their names at `external_id`.
        late_credit: Kind -> share of its credit that a late response earns.
        windows: Kind -> time for which a repeated request of a deduplicated kind is recognised, ns.
        proxies: How many are expected.
        picks: How proxies pick a backend: weighted, round or two.
        levels: What ordered admission levels are: share, rate or none.
        standing: Lines of the table that a proxy uses until a controller has sent it one.
        base_retry: Retries that proxies make without an order of a controller.
        per_try: Share of a kind's latency objective that one attempt may take.
        eject_after: Failures in a row after which a proxy ejects a backend; 0: never.
        no_backend_limit: How long a proxy may be without a usable backend, ns; 0: no limit.
        channel_rate: Lines a second of the channel.
        pending_max: Most lines that may wait in the channel.
        head: Cost of a message beyond its parts, in lines.
        channel_delay_mean: Mean time of a message to its proxy, ns.
        channel_delay_max: Longest time of a message to its proxy, ns.
        messages_max: Most messages to a proxy within `messages_window`; 0: no limit.
        messages_window: ns.
        report_interval: The proxies' report cycle, ns.
        reports_rate: Merged report lines a second for the policy; 0: no limit.
        cold_speed: Share of its capacity that a cold backend has.
        warm_up_time: Time until a started backend has its full capacity, ns.
        overload_multiple: Multiple of its capacity at which an overloaded backend fails; 0: none does.
        overload_time: Time at that load until it fails, ns.
        drain_grace: Time that a draining backend still serves, ns.
        omission_removes: Whether a backend that a complete list lacks counts as removed.
        full_may_have_run: Whether a request that a full backend rejected may have run.
        probes: Whether controllers may probe backends.
        cross_zone_cost: Cost of a request that crosses zones, as a share of its credit.
        inventory: The inventory's address.
        ask: Whether the list is polled; else the inventory sends each change.
        ask_within: Time within which a poll is answered, ns.
        keep: Folder of the snapshots; empty: none are written.
        controllers: The SiteControllers.
        backends: How many are expected.
        caps: Purpose -> bytes, where the description sets them.
        cluster: The ClusterSettings, or None.
        control: The ControlSettings, or None.
    """

    name: str
    tick: int
    zones: tuple[str, ...]
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
    no_backend_limit: int
    channel_rate: float
    pending_max: float
    head: float
    channel_delay_mean: int
    channel_delay_max: int
    messages_max: int
    messages_window: int
    report_interval: int
    reports_rate: float
    cold_speed: float
    warm_up_time: int
    overload_multiple: float
    overload_time: int
    drain_grace: int
    omission_removes: bool
    full_may_have_run: bool
    probes: bool
    cross_zone_cost: float
    inventory: str
    ask: bool
    ask_within: int
    keep: str
    controllers: tuple[SiteController, ...]
    backends: int = 64
    caps: dict = field(default_factory=dict)
    cluster: ClusterSettings | None = None
    control: ControlSettings | None = None

    def controller(self, name):
        """Returns the SiteController of a name.

        Raises:
            SiteError: There is none.
        """
        for controller in self.controllers:
            if controller.name == name:
                return controller
        known = ", ".join(controller.name for controller in self.controllers)
        raise SiteError(f"{self.name}: no controller '{name}' (there are {known})")

    def at(self, **other):
        """Returns a copy of this site with changed fields, as for ports known only after listening."""
        return replace(self, **other)

    def deployment(self, me, identifiers):
        """Returns the Deployment that a controller's policy is started with.

        Args:
            me: The SiteController.
            identifiers: The Identifiers, which give the zones' handles.

        Returns:
            The interface.Deployment.
        """
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
            no_backend_limit=self.no_backend_limit,
            pending_max=self.pending_max,
            channel_rate=self.channel_rate,
            head=self.head,
            channel_delay_mean=self.channel_delay_mean,
            channel_delay_max=self.channel_delay_max,
            messages_max=self.messages_max,
            messages_window=self.messages_window,
            report_interval=self.report_interval,
            cold_speed=self.cold_speed,
            warm_up_time=self.warm_up_time,
            overload_multiple=self.overload_multiple,
            overload_time=self.overload_time,
            drain_grace=self.drain_grace,
            cross_zone_cost=self.cross_zone_cost,
            omission_removes=self.omission_removes,
        )
