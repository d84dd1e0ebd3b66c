"""Two of the five rules that are sums over time: what a cold backend is brought, and what waits in and leaves
by a channel.
"""

from collections import deque

S = 10**9
SLACK = 1.15  # x on cold loads and on the pace: chance in what is drawn, jitter of timers


class Budgets:
    """Also has `site`, `cold`, `backends` and `breaks(rule, at, text)`."""

    def on_started(self, at, backend):
        if backend in self.cold:
            self.failback(backend, *self.cold[backend])
        self.cold[backend] = at, []

    def failback(self, backend, start, sends):
        """A budget: what any span of fall_after brings must stay under multiple x capacity x span."""
        site, shape = self.site, self.backends[backend].shape
        if not site.fall_multiple or not site.fall_after:
            return

        def capacity(at):
            part = min(1.0, (at - start) / shape.warm_after) if shape.warm_after else 1.0
            return shape.cores * shape.speed * (shape.cold_from + (1 - shape.cold_from) * part)

        first, total, known = 0, 0, 0
        for at, work, knows in sends:
            if at > start + shape.warm_after + site.fall_after:
                break
            total, known = total + work, known + work * knows
            while sends[first][0] <= at - site.fall_after:
                total, known = total - sends[first][1], known - sends[first][1] * sends[first][2]
                first += 1
            middle = max(start, at - site.fall_after / 2)
            bears = site.fall_multiple * capacity(middle) * site.fall_after * SLACK
            if total > bears and known * 3 >= total * 2:
                self.breaks(
                    "failback",
                    at,
                    f"{backend}, cold for {(at - start) / S:.1f} s, was brought "
                    f"{total / bears * SLACK:.2f} times what it bears",
                )
                return

    # ---- the channel

    def channel(self, con):
        """Lines between their order and their arrival wait; and no second carries more than the pace."""
        turns = sorted(
            [(stamp, 1, cost) for stamp, _, cost in con.messages]
            + [(seen, 0, -cost) for _, seen, cost in con.messages]
        )
        waiting = 0
        for at, _, cost in turns:
            waiting += cost
            if self.site.pending_max and waiting > self.site.pending_max:
                self.breaks("backlog", at, f"{waiting:.0f} lines wait")
                break
        span, lines, largest = deque(), 0, 0
        for _, seen, cost in sorted(con.messages, key=lambda m: m[1]):
            span.append((seen, cost))
            lines, largest = lines + cost, max(largest, cost)
            while span[0][0] <= seen - S:
                lines -= span.popleft()[1]
            if lines > self.site.channel_rate * SLACK + largest:
                self.breaks("backlog", seen, f"{lines:.0f} lines left within a second")
                break
