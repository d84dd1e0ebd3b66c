"""The rules on sums over time: `failback`, the load of cold backends, and `backlog`, the load of channels."""

from collections import deque

SECOND_NS = 10**9
RATE_TOLERANCE = 1.15  # factor of limits, for random variation of loads and jitter of timers


class BudgetRules:
    """Mixin; the checker also has `site`, `cold_starts`, `backends` and `add_violation(rule, at, text)`."""

    def on_started(self, at, backend):
        """A backend started cold; the load after its previous start is checked now."""
        if backend in self.cold_starts:
            self.check_cold_backend(backend, *self.cold_starts[backend])
        self.cold_starts[backend] = at, []

    def check_cold_backend(self, backend, start, sends):
        """Rule `failback`: any span of overload_time brings less than overload_multiple x capacity x span.

        The controller is only responsible if two thirds of the load come from proxies that know of the start.

        Args:
            backend: its name.
            start: when it started, ns.
            sends: [(at ns, work ns, whether the proxy had orders that reflect the start)].
        """
        site = self.site
        shape = self.backends[backend].shape
        if not site.overload_multiple or not site.overload_time:
            return
        first = 0
        total = 0
        known = 0
        for at, work, knows in sends:
            if at > start + shape.warm_up_time + site.overload_time:
                break
            total += work
            known += work * knows
            while sends[first][0] <= at - site.overload_time:
                total -= sends[first][1]
                known -= sends[first][1] * sends[first][2]
                first += 1
            middle = max(start, at - site.overload_time / 2)
            capacity = capacity_after(shape, middle - start)
            bearable = site.overload_multiple * capacity * site.overload_time * RATE_TOLERANCE
            if total > bearable and known * 3 >= total * 2:
                self.add_violation(
                    "failback",
                    at,
                    f"{backend}, cold for {(at - start) / SECOND_NS:.1f} s, was brought "
                    f"{total / bearable * RATE_TOLERANCE:.2f} times what it bears",
                )
                return

    def check_channel(self, controller):
        """Rule `backlog`: waiting lines, and lines sent in a second, stay under their limits."""
        self.check_waiting_lines(controller)
        self.check_lines_per_second(controller)

    def check_waiting_lines(self, controller):
        """At most `pending_max` lines wait, which is from their order to their arrival."""
        ordered = [(stamp, 1, cost) for stamp, _, cost in controller.messages]
        arrived = [(seen, 0, -cost) for _, seen, cost in controller.messages]
        waiting = 0
        for at, _, cost in sorted(ordered + arrived):
            waiting += cost
            if self.site.pending_max and waiting > self.site.pending_max:
                self.add_violation("backlog", at, f"{waiting:.0f} lines wait")
                break

    def check_lines_per_second(self, controller):
        """At most the lines of the channel's rate, plus one message, are sent in any second."""
        span = deque()
        lines = 0
        largest = 0
        for _, seen, cost in sorted(controller.messages, key=lambda message: message[1]):
            span.append((seen, cost))
            lines += cost
            largest = max(largest, cost)
            while span[0][0] <= seen - SECOND_NS:
                lines -= span.popleft()[1]
            if lines > self.site.channel_rate * RATE_TOLERANCE + largest:
                self.add_violation("backlog", seen, f"{lines:.0f} lines left within a second")
                break


def capacity_after(shape, age):
    """Returns a backend's capacity `age` ns after its cold start, ns of work per ns."""
    warmth = min(1.0, age / shape.warm_up_time) if shape.warm_up_time else 1.0
    return shape.cores * shape.speed * (shape.cold_speed + (1 - shape.cold_speed) * warmth)
