"""Describes for operators how far the endpoint list is trusted.

The texts appear in HTTP responses and log lines that other programs may parse.
"""

NS_PER_SECOND = 10**9


def describe(trust, now):
    """Returns a text that says how far the list is trusted, and why.

    Args:
        trust: A Trust.
        now: ns.
    """
    if trust.discovery_answered:
        return "discovery has spoken"
    if not trust.backends:
        return "no list: neither discovery nor the disk gave one; proxies keep their tables"
    age = "of unknown age" if trust.age is None else f"{trust.age / NS_PER_SECOND:.0f} s old"
    candidate_count = trust.retention.candidate_count
    if not candidate_count:
        return f"the list on disk, {age}, is taken as it is; discovery has not spoken"
    proven = trust.proven_count()
    refuted = sum(backend.refuted for backend in trust.backends.values())
    if trust.is_settled(now):
        state = "good enough"
    else:
        state = "not enough yet: proxies keep the tables that they hold"
    return (
        f"the list on disk is {age}: {proven} of {candidate_count} candidates proven, {refuted} refuted, "
        f"{state}; discovery has not spoken"
    )
