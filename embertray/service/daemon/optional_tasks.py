"""Tasks of the cluster and the control plane, on sites that have them. Their failure leaves proxies served.

Their packages are imported when the tasks start, so that a site without them does not load their code.
"""

import msgspec

FACTS_KEY = "facts"  # key of the gossiped facts, which other processes read
SERVING_CONTINUES = "proxies are still served"


async def run_cluster(service):
    """Takes part in the cluster until the service stops.

    The service stops when a newer process has taken over this member's name. Any other end or error is only
    logged, and proxies are served without the cluster.

    Args:
        service: The Service, whose `cluster` is set.
    """
    from embertray.cluster.link import ClusterLink

    site = service.site
    peers = [controller.cluster for controller in site.controllers if controller.name != service.me.name]
    service.cluster = ClusterLink(
        site.cluster, service.me, peers, service.clock, service.seed, lambda: _facts(service), service.log
    )
    try:
        reason = await service.cluster.run()
    except OSError as error:
        service.log.error(f"the cluster's address can't be used; {SERVING_CONTINUES}", why=str(error))
        return
    except Exception as error:  # a fault of the cluster's code must not cancel the proxies' streams
        service.log.error(f"the cluster failed; {SERVING_CONTINUES}", exc_info=error)
        return
    if not service.stopping.is_set():
        service.log.error("ended", why=reason)
        service.stop()


async def follow_control(service):
    """Follows the control plane until the service stops.

    Args:
        service: The Service, whose `control` is set.
    """
    from .control import subscriber_client

    service.control = subscriber_client(
        service.site, service.me, service.clock, service.net, service.seed, service.log
    )
    try:
        await service.control.run()
    except Exception as error:  # a fault of the control plane's code must not cancel the proxies' streams
        service.log.error(f"following the control plane failed; {SERVING_CONTINUES}", exc_info=error)


def _facts(service):
    """Returns the facts that this controller gossips to the other members: key -> bytes."""
    facts = {
        "proxies": len(service.streams),
        "list": service.trust.epoch,
        "draining": service.admission.draining is not None,
    }
    return {FACTS_KEY: msgspec.json.encode(facts)}
