"""Formats the status of a replica or a subscriber for people."""


def describe(status):
    """Formats the status of a process of the replicated configuration.

    Args:
        status: a ReplicaStatus or SubscriberStatus as decoded JSON.

    Returns:
        A list of lines.
    """
    age = "not known" if status["age_s"] is None else f"{status['age_s']:.1f} s"
    if status["type"] == "subscriber":
        return _describe_subscriber(status, age)
    return _describe_replica(status, age)


def _describe_subscriber(status, age):
    connection = "follows" if status["connected"] else "NOT CONNECTED, tries"
    return [
        f"{status['name']} in {status['cluster']}: {connection} {status['replica']}",
        f"revision {status['revision']}, {status['keys']} keys, age {age}",
    ]


def _describe_replica(status, age):
    lines = [
        f"{status['name']} in {status['cluster']}: {_role(status)}, term {status['term']}",
        f"revision {status['revision']}, {status['keys']} keys, {status['state_bytes']} bytes, age {age}",
        f"{status['subscribers']} subscribers here hold revision {status['lowest_confirmed']} at the least",
    ]
    if status["fleet_subscribers"] is not None:
        lines.append(
            f"{status['fleet_subscribers']} subscribers in all hold revision "
            f"{status['fleet_lowest_confirmed']} at the least"
        )
    return lines


def _role(status):
    if status["recovering"]:
        return "recovering, does not vote"
    if status["role"] == "leader":
        return "leads" if status["has_majority"] else "leads WITHOUT A MAJORITY"
    leader = f"{status['leader']} leads" if status["leader"] else "NO LEADER KNOWN"
    return f"{status['role']}, {leader}"
