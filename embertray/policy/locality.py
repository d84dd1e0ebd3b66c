"""Locality: which part of a zone's requests stays with the zone's own backends.

Rule: a zone's table holds the ready backends of all zones. Where crossing zones costs, 0.9 of what comes to a
zone stays at home as far as the zone's own part of all capacity reaches; what it lacks goes where others have
capacity to spare, and the rest is spread over all zones alike.

Inputs: weight of each backend, requests a second that come to each zone. Decides: the wanted lines of each
zone's table, weights relative to the zone's own backends.
"""

HOME_SHARE = 0.9  # of the requests that could stay in their zone


class Locality:
    """Turns weights of backends into wanted lines for each zone.

    Args:
        context: `Context` of the controller.
    """

    def __init__(self, context):
        self.context = context

    def lines(self, weights, demand):
        """The wanted lines of each zone's table.

        Args:
            weights: `BackendState` -> weight, of all that may get lines.
            demand: zone -> requests a second that come to its proxies.

        Yields:
            (zone, `BackendState` -> weight), for each zone of the deployment or of a proxy; none where tables
            belong to slices.
        """
        deployment = self.context.deployment
        zones = list(dict.fromkeys(backend.zone for backend in weights))
        total = sum(weights.values()) or 1.0
        requests = sum(demand.values()) or 1.0
        capacity = {
            zone: sum(weight for backend, weight in weights.items() if backend.zone is zone) / total or 1e-9
            for zone in zones
        }
        spare = {zone: max(0.0, capacity[zone] - demand.get(zone, 0.0) / requests) for zone in zones}
        for zone in dict.fromkeys([] if deployment.slices else [*deployment.zones, *demand]):
            share = demand.get(zone, 0.0) / requests
            factors = self._zone_factors(zone, share, capacity, spare)
            own_factor = factors.get(zone) or 1.0
            yield (
                zone,
                {backend: weight * factors[backend.zone] / own_factor for backend, weight in weights.items()},
            )

    def _zone_factors(self, zone, share, capacity, spare):
        """Factor on the weights of each zone's backends in the table of `zone`.

        Args:
            zone: whose table it is.
            share: part of all requests that comes to it.
            capacity: zone -> part of all capacity.
            spare: zone -> part of all capacity that its own requests leave over.
        """
        home_share = HOME_SHARE if self.context.deployment.cross_zone_cost > 0 else 0.0
        home_flow = min(share, capacity.get(zone, 0.0))
        spare_elsewhere = sum(part for other, part in spare.items() if other is not zone)
        factors = {}
        for other in capacity:
            if other is zone:
                flow = home_flow
            elif spare_elsewhere:
                flow = (share - home_flow) * spare[other] / spare_elsewhere
            else:
                flow = 0.0
            factors[other] = (home_share * flow / share if share else 0.0) / capacity[other] + 1 - home_share
        return factors
