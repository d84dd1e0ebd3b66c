"""What a site says of its control replicas, and which of them each controller follows."""

from dataclasses import dataclass

import xxhash

from .values import BadSite, size

FOLLOWED = 3  # replicas that a controller knows: one to follow, two to turn to
BYTES_PER_SECOND_LEAST = 1_000  # a value has to fit into what two seconds give, less 1,024 bytes


@dataclass(frozen=True)
class ReplicaAt:
    """One control replica: where the others, subscribers and operators reach it; `keep`: its state's
    folder.
    """

    name: str
    region: str
    address: str
    listen: str
    admin: str
    keep: str


@dataclass(frozen=True)
class Control:
    """The control plane of a site. `keep`: folder in which each controller keeps what it holds, "" for
    none.
    """

    cluster: str
    bytes_per_second: int
    keep: str
    replicas: tuple

    def replica(self, name):
        """Raises BadSite for a name that is not there."""
        for one in self.replicas:
            if one.name == name:
                return one
        there = ", ".join(one.name for one in self.replicas)
        raise BadSite(f"{self.cluster}: no replica '{name}' (there are {there})")

    def followed_by(self, controller):
        """The ReplicaAts that a ControllerAt follows, in the order of preference."""
        return replica_order(controller.name, controller.region, self.replicas)


def replica_order(controller, region, replicas):
    """FOLLOWED of the replicas, or all if there are fewer: those of the region first, but at least one of
    another region, then of regions as different as can be. Within these rules by rendezvous hashing, so that
    controllers spread evenly and most keep their replicas when one is added or removed."""
    ranked = sorted(replicas, key=lambda one: (_score(controller, one.name), one.name))
    near = [one for one in ranked if one.region == region]
    far = [one for one in ranked if one.region != region]
    chosen = near[: FOLLOWED - 1] if far else near[:FOLLOWED]
    regions = set()
    for one in far:
        if len(chosen) < FOLLOWED and one.region not in regions:
            regions.add(one.region)
            chosen.append(one)
    rest = [one for one in [*far, *near] if one not in chosen]
    return chosen + rest[: FOLLOWED - len(chosen)]


def _score(controller, replica):
    return xxhash.xxh64_intdigest(f"{controller}\0{replica}".encode())


def read_control(root, path, defaults, addresses):
    """The Control of a description, or None if it has no <control>. Raises BadSite."""
    element = root.find("control")
    if element is None:
        return None
    attributes = {**defaults["control"], **element.attrib}
    rate = size(attributes["bytes-per-second"])
    if rate < BYTES_PER_SECOND_LEAST:
        raise BadSite(
            f"{path}:{element.sourceline}: control: bytes-per-second of {BYTES_PER_SECOND_LEAST}B at least "
            "is expected"
        )
    replicas, folders = [], set()
    for one in element.iterfind("replica"):
        replica = ReplicaAt(
            *(one.get(key) for key in ("name", "region", "address", "listen", "admin", "keep"))
        )
        _check_addresses(one, replica, path, addresses)
        if not replica.keep or replica.keep in folders:
            raise BadSite(f"{path}:{one.sourceline}: replica {replica.name}: a folder of its own is expected")
        folders.add(replica.keep)
        replicas.append(replica)
    return Control(root.get("name"), rate, attributes["keep"], tuple(replicas))


def _check_addresses(element, replica, path, addresses):
    for address in (replica.address, replica.listen, replica.admin):
        addresses.take(element, address)
    for address in (replica.address, replica.listen):
        if address.endswith(":0"):
            raise BadSite(
                f"{path}:{element.sourceline}: replica {replica.name}: a port that others know is expected"
            )
