"""Event handlers of the rule checker for proxies' streams: the rule `lost`, and messages in a window."""

from embertray.controller.stream.messages import Bind

SECOND_NS = 10**9
CATCH_UP_NS = SECOND_NS  # that a proxy needs after a pause


class ProxyEvents:
    """The handlers of events of a proxy's stream.

    The checker also has `site`, `proxies` (name -> ObservedProxy), `controllers`, `unreachable`, `spread`
    and `add_violation(rule, at, text)`.
    """

    def is_out_of_reach(self, proxy):
        """Returns whether the proxy does not respond, or its controller and its proxies are disconnected."""
        return proxy.unresponsive or any(
            proxy.controller is self.controllers.get(name) for name in self.unreachable
        )

    def on_joined(self, at, name, controller):
        """The proxy was welcomed by a controller."""
        proxy = self.proxies[name]
        proxy.controller = self.controller(controller, at)
        proxy.joined_at = at
        proxy.newest_stamp = -1
        proxy.message_times.clear()
        proxy.awaited.clear()
        self.note_table_changed(at, proxy)

    def on_left(self, at, name):
        """The proxy's stream ended."""
        proxy = self.proxies[name]
        self.check_has_line(at, proxy)
        proxy.routing_state.disconnected()
        proxy.controller = None
        proxy.without_line_since = None
        proxy.awaited.clear()

    def on_out(self, at, name):
        """The proxy is paused or does not read, because of a fault of its own."""
        self.proxies[name].unresponsive = True

    def on_back(self, at, who):
        """A proxy, by name or as ObservedProxy, resumes and gets time to catch up."""
        proxy = self.proxies.get(who, who)
        proxy.unresponsive = False
        proxy.excused_until = at + CATCH_UP_NS + self.site.drain_grace
        if proxy.without_line_since is not None:
            proxy.without_line_since = at

    def on_orders(self, at, name, orders):
        """A message arrived at the proxy's end of the stream."""
        proxy = self.proxies[name]
        if proxy.controller is None:
            return
        if not self.is_out_of_reach(proxy):
            proxy.controller.messages.append((orders.stamp, at, self.cost_in_lines(orders)))
        self.check_messages_in_window(at, proxy)

    def cost_in_lines(self, orders):
        """Returns the cost of a message on the channel, in lines."""
        cost = self.site.head + (orders.nonce is not None)
        for order in orders.do:
            cost += 1
            if isinstance(order, Bind):
                cost += len(order.lines) + len(order.levels) + len(order.out)
        return cost

    def check_messages_in_window(self, at, proxy):
        """Rule `backlog`: a proxy receives at most `messages_max` messages within the window."""
        site = self.site
        times = proxy.message_times
        times.append(at)
        while times[0] <= at - site.messages_window:
            times.popleft()
        if site.messages_max and len(times) > site.messages_max:
            self.add_violation(
                "backlog", at, f"{proxy.name} was written {len(times)} messages within the window"
            )

    def on_applied(self, at, name, orders):
        """The proxy applied a message."""
        proxy = self.proxies[name]
        proxy.routing_state.apply(orders)
        if proxy.controller:
            proxy.newest_stamp = max(proxy.newest_stamp, orders.stamp)
        self.note_table_changed(at, proxy)

    def note_table_changed(self, at, proxy):
        """Records which backends the proxy dropped, and whether it still has a line to pick."""
        picks = proxy.routing_state.routable_lines()
        for backend in [backend for backend in proxy.awaited if backend not in picks]:
            self.spread.append(at - proxy.awaited.pop(backend))
        if picks:
            self.check_has_line(at, proxy)
            proxy.without_line_since = None
        elif proxy.without_line_since is None and proxy.controller:
            proxy.without_line_since = at

    def check_has_line(self, at, proxy):
        """Rule `lost`: while a backend is ready and warm, a joined proxy has a line to pick.

        It is broken after `no_backend_limit` without one.
        """
        if proxy.without_line_since is None or proxy.controller is None or self.is_out_of_reach(proxy):
            return
        ready = [
            max(notice.notified_at, notice.started + self.site.warm_up_time if notice.started else 0)
            for notice in proxy.controller.notices.values()
            if notice.state == "ready"
        ]
        since = max(proxy.without_line_since, min(ready, default=at), proxy.joined_at)
        if at - since > self.site.no_backend_limit * proxy.controller.time_factor(since):
            waited = (at - since) / SECOND_NS
            self.add_violation("lost", at, f"{proxy.name} had no line to pick for {waited:.2f} s")
