"""Prints summaries and saves them as slopes."""

import sys


def show(one):
    """Prints a summary as one line, and flushes it."""
    delays = ", ".join(f"{last:.2f} s ({count})" for count, last in one.delays.values())
    parts = ", ".join(f"{name} {rate:,.0f}" for name, rate in one.parts.items())
    oldest = "something missing" if one.oldest is None else f"{one.oldest:.1f} s"
    print(
        f"{one.size}: {one.count} members, sent {one.sent:,.0f} (worst {one.sent_worst:,.0f}; {parts}), "
        f"received {one.received:,.0f} (worst {one.received_worst:,.0f}) bytes/s, "
        f"{one.messages:.1f} messages/s, {one.processor:.5f} cores, {one.memory / 1024:,.0f} KiB, "
        f"seen {one.seen_min} at least, {one.seen_mean:.1f} on average, oldest {oldest}, "
        f"to all {delays}, {one.failures} failures"
    )
    sys.stdout.flush()


def points(found, value):
    """Returns [(size, value)] without the sizes that have no value."""
    pairs = [(one.size, value(one)) for one in found]
    return [(size, number) for size, number in pairs if number is not None]


def time_to_all(one):
    """Returns the seconds of the slowest mark until all saw it; None if one was not seen by all."""
    if not one.delays or any(count < one.count for count, _ in one.delays.values()):
        return None
    return max(last for _, last in one.delays.values())


def save_cluster(recording, found, note):
    """Saves the slopes of a cluster on loopback."""

    def save(name, unit, value):
        if rows := points(found, value):
            recording.save(f"cluster-{name}", unit, "members of the cluster", rows, note)

    save("sent-bytes", "bytes/s a member", lambda one: one.sent)
    save("sent-worst", "bytes/s a member", lambda one: one.sent_worst)
    save("received-bytes", "bytes/s a member", lambda one: one.received)
    save("sent-messages", "messages/s a member", lambda one: one.messages)
    save("processor", "cores a member", lambda one: one.processor)
    save("memory", "bytes a member", lambda one: one.memory)
    save("time-to-all", "s a change", time_to_all)
    save("oldest", "s a member", lambda one: one.oldest)
    save("members-seen", "members a member", lambda one: one.seen_min)


def save_virtual(recording, found, note):
    """Saves the slopes of a cluster under virtual time."""

    def save(name, unit, value):
        recording.save(f"virtual-cluster-{name}", unit, "members of the cluster", points(found, value), note)

    save("sent-bytes", "bytes/s a member", lambda one: one.sent)
    save("sent-messages", "messages/s a member", lambda one: one.messages)
    save("time-to-all", "s a change", time_to_all)
    save("oldest", "s a member", lambda one: one.oldest)


def save_control(recording, found, note):
    """Saves the slopes of replicas and subscribers of the control plane."""

    def save(role, name, unit, value):
        if rows := points(found[role], value):
            recording.save(f"control-{name}", unit, "subscribers", rows, note)

    for role in ("subscriber", "replica"):
        each = f"a {role}"
        save(role, f"{role}-bytes", f"bytes/s {each}", lambda one: one.sent + one.received)
        save(role, f"{role}-bytes-in", f"bytes/s {each}", lambda one: one.received)
        save(role, f"{role}-bytes-out", f"bytes/s {each}", lambda one: one.sent)
        save(role, f"{role}-worst-in", f"bytes/s {each}", lambda one: one.received_worst)
        save(role, f"{role}-worst-out", f"bytes/s {each}", lambda one: one.sent_worst)
        save(role, f"{role}-processor", f"cores {each}", lambda one: one.processor)
        save(role, f"{role}-memory", f"bytes {each}", lambda one: one.memory)
    save("subscriber", "time-to-all", "s a change", time_to_all)
    save("subscriber", "subscriber-oldest", "s a subscriber", lambda one: one.oldest)
