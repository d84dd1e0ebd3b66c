"""The cluster's status for operators, and its collections for the memory accounts."""

from embertray.common.memory import Collection

SECOND_NS = 10**9
REJECTED_SHOWN = 16  # the most frequent (reason, address) pairs of rejected messages are listed
FACTS_KEY = "facts"  # key of the entry in which each member shares data about itself


def status(link):
    """Return the status for the admin endpoint and the metrics; operators' tools read its keys.

    Args:
        link: The ClusterLink.
    """
    now = link.clock.now()
    membership = link.membership
    store = link.store
    return {
        "cluster": link.cluster.name,
        "me": membership.local.name,
        "life": membership.local.incarnation,
        "joined": membership.joined,
        "cut_off": membership.cut_off(now),
        "health": membership.health.score,
        "ended": membership.ended,
        "members": member_rows(link, now),
        "bound_s": seconds(link.state_exchange.staleness_bound_ns()),
        "state_bytes": store.size_bytes,
        "state_cap": store.cap_bytes,
        "left_out": sum(store.shed.values()),
        "refused": [
            {"why": reason, "address": address, "times": count}
            for (reason, address), count in membership.rejected.most_common(REJECTED_SHOWN)
        ],
        "state_held_back": link.bucket.deferred,
        **link.counters.as_dict(),
    }


def member_rows(link, now):
    """Return a row for each other member, sorted by name.

    Args:
        link: The ClusterLink.
        now: The time, ns.
    """
    known = link.store.latest_values(now, FACTS_KEY)
    facts_age_s = {entry.owner: seconds(entry.age_ns) for entry in known}
    members = sorted(link.membership.members.values(), key=lambda member: member.name)
    return [
        {
            "name": member.name,
            "address": member.address,
            "state": member.state.label,
            "heard_s": seconds(now - member.last_heard_at),
            "told_s": facts_age_s.get(member.name),
        }
        for member in members
    ]


def memory_collections(link):
    """Return the cluster's collections for the memory accounts, without the objects that hold them.

    Args:
        link: The ClusterLink.

    Returns:
        Collections.
    """
    membership = link.membership
    store = link.store
    store_containers = [store.entries, store.order_by_owner, store.complete_up_to, store.incarnations]
    return [
        Collection("entries", len(store.entries), store.entries.items, store_containers),
        *(
            Collection(name, len(container), container.items, [container])
            for name, container in (
                ("members", membership.members),
                ("refused", membership.rejected),
                ("probes", membership.probes),
            )
        ),
    ]


def seconds(time_ns):
    """Return a time in seconds, rounded to hundredths.

    Args:
        time_ns: The time, ns.
    """
    return round(time_ns / SECOND_NS, 2)
