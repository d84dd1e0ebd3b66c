"""Prints summaries and saves them as slopes."""

import sys


def print_summary(summary):
    """Prints a summary as one line, and flushes it."""
    delays = ", ".join(f"{last:.2f} s ({count})" for count, last in summary.delays.values())
    parts = ", ".join(f"{name} {rate:,.0f}" for name, rate in summary.parts.items())
    oldest = "something missing" if summary.oldest is None else f"{summary.oldest:.1f} s"
    print(
        f"{summary.size}: {summary.count} members, sent {summary.sent:,.0f} (worst "
        f"{summary.sent_worst:,.0f}; {parts}), "
        f"received {summary.received:,.0f} (worst {summary.received_worst:,.0f}) bytes/s, "
        f"{summary.messages:.1f} messages/s, {summary.processor:.5f} cores, "
        f"{summary.memory / 1024:,.0f} KiB, "
        f"seen {summary.seen_min} at least, {summary.seen_mean:.1f} on average, oldest {oldest}, "
        f"to all {delays}, {summary.failures} failures"
    )
    sys.stdout.flush()


def points(summaries, value):
    """Returns [(size, value)] without the sizes that have no value."""
    pairs = [(summary.size, value(summary)) for summary in summaries]
    return [(size, number) for size, number in pairs if number is not None]


def time_to_all(summary):
    """Returns the seconds of the slowest mark until all saw it; None if one was not seen by all."""
    if not summary.delays or any(count < summary.count for count, _ in summary.delays.values()):
        return None
    return max(last for _, last in summary.delays.values())


def save_cluster(recording, summaries, note):
    """Saves the slopes of a cluster on loopback."""

    def save(name, unit, value):
        if measured := points(summaries, value):
            recording.save(f"cluster-{name}", unit, "members of the cluster", measured, note)

    save("sent-bytes", "bytes/s a member", lambda summary: summary.sent)
    save("sent-worst", "bytes/s a member", lambda summary: summary.sent_worst)
    save("received-bytes", "bytes/s a member", lambda summary: summary.received)
    save("sent-messages", "messages/s a member", lambda summary: summary.messages)
    save("processor", "cores a member", lambda summary: summary.processor)
    save("memory", "bytes a member", lambda summary: summary.memory)
    save("time-to-all", "s a change", time_to_all)
    save("oldest", "s a member", lambda summary: summary.oldest)
    save("members-seen", "members a member", lambda summary: summary.seen_min)


def save_virtual(recording, summaries, note):
    """Saves the slopes of a cluster under virtual time."""

    def save(name, unit, value):
        recording.save(
            f"virtual-cluster-{name}", unit, "members of the cluster", points(summaries, value), note
        )

    save("sent-bytes", "bytes/s a member", lambda summary: summary.sent)
    save("sent-messages", "messages/s a member", lambda summary: summary.messages)
    save("time-to-all", "s a change", time_to_all)
    save("oldest", "s a member", lambda summary: summary.oldest)


def save_control(recording, summaries, note):
    """Saves the slopes of replicas and subscribers of the control plane."""

    def save(role, name, unit, value):
        if measured := points(summaries[role], value):
            recording.save(f"control-{name}", unit, "subscribers", measured, note)

    for role in ("subscriber", "replica"):
        each = f"a {role}"
        save(role, f"{role}-bytes", f"bytes/s {each}", lambda summary: summary.sent + summary.received)
        save(role, f"{role}-bytes-in", f"bytes/s {each}", lambda summary: summary.received)
        save(role, f"{role}-bytes-out", f"bytes/s {each}", lambda summary: summary.sent)
        save(role, f"{role}-worst-in", f"bytes/s {each}", lambda summary: summary.received_worst)
        save(role, f"{role}-worst-out", f"bytes/s {each}", lambda summary: summary.sent_worst)
        save(role, f"{role}-processor", f"cores {each}", lambda summary: summary.processor)
        save(role, f"{role}-memory", f"bytes {each}", lambda summary: summary.memory)
    save("subscriber", "time-to-all", "s a change", time_to_all)
    save("subscriber", "subscriber-oldest", "s a subscriber", lambda summary: summary.oldest)
