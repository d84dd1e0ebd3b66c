"""Locality: keeps a part of each zone's requests on backends of the same zone.

Rule: a zone's table has lines for the ready backends of all zones. Where cross-zone requests cost, 0.9 of the
requests of a zone stay in the zone as far as its share of the total capacity permits; the shortfall goes to
zones with spare capacity, and the rest is spread over all zones alike.

Inputs: weight of each backend, requests a second of each zone. Output: the desired lines of each zone's
table, with weights relative to the zone's own backends.
"""

HOME_SHARE = 0.9  # of the requests that the zone's own backends could serve


class Locality:
    """Converts the weights of backends to the desired lines of each zone.

    Args:
        context: `Context` of the controller.
    """

    def __init__(self, context):
        self.context = context

    def lines(self, weights, demand):
        """Yields the desired lines of each zone's table.

        Args:
            weights: `BackendState` -> weight, for all backends that may get lines.
            demand: zone -> requests a second received by its proxies.

        Yields:
            (zone, `BackendState` -> weight), for each zone of the deployment or of a proxy; nothing where
            tables belong to slices.
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
        """Returns zone -> factor on the weights of its backends in the table of `zone`.

        Args:
            zone: zone of the table.
            share: share of all requests that the zone receives.
            capacity: zone -> share of the total capacity.
            spare: zone -> share of the total capacity that its own requests leave unused.
        """
        home_share = HOME_SHARE if self.context.deployment.cross_zone_cost > 0 else 0.0
        home_flow = min(share, capacity.get(zone, 0.0))
        spare_elsewhere = sum(zone_spare for other, zone_spare in spare.items() if other is not zone)
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
