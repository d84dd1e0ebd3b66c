"""The control replicas of a site, and the choice of those that each controller may follow."""

from dataclasses import dataclass

import xxhash

from .exceptions import SiteError

REPLICAS_PER_CONTROLLER = 3  # one that the controller follows, and two to fail over to
BYTES_PER_SECOND_MIN = 1_000  # a value has at most two seconds' worth of it, less 1,024 bytes


@dataclass(frozen=True)
class SiteReplica:
    """One control replica.

    Attributes:
        name: Its name.
        region: Its region's name.
        address: Where the other replicas reach it.
        listen: Where subscribers reach it.
        admin: Where operators reach it.
        keep: Folder of its state.
    """

    name: str
    region: str
    address: str
    listen: str
    admin: str
    keep: str


@dataclass(frozen=True)
class ControlSettings:
    """The control plane of a site.

    Attributes:
        cluster: The site's name, by which its processes recognise each other.
        bytes_per_second: Rate limit of the updates to one subscriber.
        keep: Folder in which each controller stores its configuration; empty: none.
        replicas: The SiteReplicas.
    """

    cluster: str
    bytes_per_second: int
    keep: str
    replicas: tuple[SiteReplica, ...]

    def replica(self, name):
        """Returns the SiteReplica of a name.

        Raises:
            SiteError: There is none.
        """
        for replica in self.replicas:
            if replica.name == name:
                return replica
        known = ", ".join(replica.name for replica in self.replicas)
        raise SiteError(f"{self.cluster}: no replica '{name}' (there are {known})")

    def followed_by(self, controller):
        """Returns the SiteReplicas that a SiteController may follow, in the order of preference."""
        return replica_order(controller.name, controller.region, self.replicas)


def replica_order(controller, region, replicas):
    """Chooses the replicas that a controller may follow: one at a time, the next one if it fails.

    Replicas of the controller's region come first, but at least one is of another region if there is one; the
    others are of as many different regions as possible. Within these rules the order is by rendezvous
    hashing, so that controllers spread evenly and most keep their replicas when one is added or removed.

    Args:
        controller: The controller's name.
        region: Its region.
        replicas: The SiteReplicas.

    Returns:
        REPLICAS_PER_CONTROLLER of them, or all if there are fewer, in the order of preference.
    """
    ranked = sorted(replicas, key=lambda replica: (_score(controller, replica.name), replica.name))
    near = [replica for replica in ranked if replica.region == region]
    far = [replica for replica in ranked if replica.region != region]
    chosen = near[: REPLICAS_PER_CONTROLLER - 1] if far else near[:REPLICAS_PER_CONTROLLER]
    regions = set()
    for replica in far:
        if len(chosen) < REPLICAS_PER_CONTROLLER and replica.region not in regions:
            regions.add(replica.region)
            chosen.append(replica)
    rest = [replica for replica in [*far, *near] if replica not in chosen]
    return chosen + rest[: REPLICAS_PER_CONTROLLER - len(chosen)]


def _score(controller, replica):
    return xxhash.xxh64_intdigest(f"{controller}\0{replica}".encode())
