"""Reads the elements of a valid description into a Site, with the checks that the schema can't express."""

from embertray.policy import interface as i

from .addresses import ANY_FREE_PORT, UsedAddresses
from .control import BYTES_PER_SECOND_MIN, ControlSettings, SiteReplica
from .exceptions import SiteError
from .model import ClusterSettings, Site, SiteController
from .schema import attribute_defaults
from .values import parse_boolean, parse_duration, parse_size

RENAMED_RETRY_MODES = {"uniqued": "deduplicated"}  # values of `again` in older descriptions -> current ones
TICK_DEFAULT = "5ms"
CLUSTER_PERIOD_MIN_NS = 50 * 10**6
CONTROLLER_ADDRESSES = ("listen", "admin", "cluster")
POLL_MODE = "ask"  # the mode in which the list is polled; otherwise the inventory sends each change


class SiteReader:
    """Reads one description.

    Args:
        root: Its root element.
        path: Its file, for errors.
    """

    def __init__(self, root, path):
        self._root = root
        self._path = path
        self._addresses = UsedAddresses(path)

    def site(self):
        """Returns the Site.

        Raises:
            SiteError: A check failed that the schema can't express.
        """
        root = self._root
        # in this order, so that the first error in the file is the one that is reported
        kinds = self._kinds()
        channel = self._channel()
        controllers = self._controllers()
        inventory = self._inventory()
        cluster = self._cluster(controllers)
        control = self._control()
        return Site(
            name=root.get("name"),
            tick=parse_duration(root.get("tick", TICK_DEFAULT)),
            zones=tuple(zone.get("name") for zone in root.find("zones")),
            controllers=controllers,
            caps={cap.get("purpose"): parse_size(cap.get("bytes")) for cap in root.iterfind("memory/cap")},
            cluster=cluster,
            control=control,
            **kinds,
            **self._proxies(),
            **channel,
            **self._reports(),
            **self._backends(),
            **inventory,
        )

    def _error(self, element, text):
        return SiteError(f"{self._path}:{element.sourceline}: {text}")

    def _attributes(self, element):
        """Returns an element's attributes, with the schema's defaults."""
        return {**attribute_defaults().get(element.tag, {}), **element.attrib}

    def _section(self, name):
        return self._attributes(self._root.find(name))

    def _kinds(self):
        kinds = []
        late_credit = {}
        windows = {}
        for element in self._root.find("request-kinds"):
            attributes = self._attributes(element)
            kind = self._kind(element, attributes)
            kinds.append(kind)
            late_credit[kind] = float(attributes["late-credit"])
            windows[kind] = parse_duration(attributes["window"])
        return {"kinds": tuple(kinds), "late_credit": late_credit, "windows": windows}

    def _kind(self, element, attributes):
        kind = i.RequestKind(
            parse_duration(attributes["response-target"]),
            parse_duration(attributes["client-timeout"]),
            float(attributes["credit"]),
            RENAMED_RETRY_MODES.get(attributes["again"], attributes["again"]),
            attributes["group"],
            attributes["name"],
        )
        if kind.client_timeout < kind.latency_objective:
            raise self._error(element, f"kind {kind.external_id}: client-timeout is under response-target")
        return kind

    def _proxies(self):
        proxies = self._section("proxies")
        return {
            "proxies": int(proxies["expected"]),
            "picks": proxies["picks"],
            "levels": proxies["levels"],
            "standing": int(proxies["standing"]),
            "base_retry": int(proxies["base-retry"]),
            "per_try": float(proxies["per-try"]),
            "eject_after": int(proxies["eject-after"]),
            "no_backend_limit": parse_duration(proxies["bare-limit"]),
        }

    def _channel(self):
        channel = self._section("channel")
        rate = float(channel["lines-per-second"])
        if not rate > 0:
            raise self._error(self._root.find("channel"), "channel: lines-per-second must be over 0")
        return {
            "channel_rate": rate,
            "pending_max": float(channel["lines-waiting"]),
            "head": float(channel["head"]),
            "channel_delay_mean": parse_duration(channel["way-mean"]),
            "channel_delay_max": parse_duration(channel["way-most"]),
            "messages_max": int(channel["messages"]),
            "messages_window": parse_duration(channel["messages-within"]),
        }

    def _reports(self):
        reports = self._section("reports")
        return {
            "report_interval": parse_duration(reports["cycle"]),
            "reports_rate": float(reports["lines-per-second"]),
        }

    def _backends(self):
        backends = self._section("backends")
        return {
            "backends": int(backends["expected"]),
            "cold_speed": float(backends["cold-from"]),
            "warm_up_time": parse_duration(backends["warm-after"]),
            "overload_multiple": float(backends["fall-multiple"]),
            "overload_time": parse_duration(backends["fall-after"]),
            "drain_grace": parse_duration(backends["drain-grace"]),
            "omission_removes": parse_boolean(backends["dropped-bind"]),
            "full_may_have_run": parse_boolean(backends["full-may-have-run"]),
            "probes": parse_boolean(backends["probes"]),
            "cross_zone_cost": float(backends["cross-zone-cost"]),
        }

    def _inventory(self):
        inventory = self._section("inventory")
        self._addresses.check(self._root.find("inventory"), inventory["address"])
        return {
            "inventory": inventory["address"],
            "ask": inventory["mode"] == POLL_MODE,
            "ask_within": parse_duration(inventory["ask-within"]),
            "keep": inventory["keep"],
        }

    def _controllers(self):
        controllers = []
        for element in self._root.find("controllers"):
            for key in CONTROLLER_ADDRESSES:
                address = element.get(key, "")
                if address:
                    self._addresses.use(element, address)
            keys = ("name", "zone", "listen", "admin", "cluster", "region")
            controllers.append(SiteController(**{key: element.get(key, "") for key in keys}))
        return tuple(controllers)

    def _cluster(self, controllers):
        element = self._root.find("cluster")
        if element is None:
            return None
        attributes = self._attributes(element)
        period = parse_duration(attributes["period"])
        if period < CLUSTER_PERIOD_MIN_NS:
            raise self._error(element, "cluster: a period of 50ms at least is expected")
        for controller, controller_element in zip(controllers, self._root.find("controllers"), strict=True):
            if not controller.cluster or controller.cluster.endswith(ANY_FREE_PORT):
                text = "a cluster needs its address, with a port that others know"
                raise self._error(controller_element, f"controller {controller.name}: {text}")
        return ClusterSettings(
            name=self._root.get("name"),
            period=period,
            state=parse_size(attributes["state"]),
            rate=parse_size(attributes["bytes-per-second"]),
        )

    def _control(self):
        element = self._root.find("control")
        if element is None:
            return None
        attributes = self._attributes(element)
        rate = parse_size(attributes["bytes-per-second"])
        if rate < BYTES_PER_SECOND_MIN:
            text = f"control: bytes-per-second of {BYTES_PER_SECOND_MIN}B at least is expected"
            raise self._error(element, text)
        replicas = []
        folders = set()
        for replica_element in element.iterfind("replica"):
            replica = self._replica(replica_element)
            if not replica.keep or replica.keep in folders:
                text = f"replica {replica.name}: a folder of its own is expected"
                raise self._error(replica_element, text)
            folders.add(replica.keep)
            replicas.append(replica)
        return ControlSettings(self._root.get("name"), rate, attributes["keep"], tuple(replicas))

    def _replica(self, element):
        keys = ("name", "region", "address", "listen", "admin", "keep")
        replica = SiteReplica(**{key: element.get(key) for key in keys})
        for address in (replica.address, replica.listen, replica.admin):
            self._addresses.use(element, address)
        for address in (replica.address, replica.listen):
            if address.endswith(ANY_FREE_PORT):
                text = f"replica {replica.name}: a port that others know is expected"
                raise self._error(element, text)
        return replica
