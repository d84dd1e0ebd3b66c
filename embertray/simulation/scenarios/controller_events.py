"""Event handlers of the rule checker for controllers: incarnations, pauses, pace and endpoint lists."""

from .observed import BackendNotice, ObservedController


class ControllerEvents:
    """The handlers of events that name a controller.

    The checker also has `site`, `controllers` (name -> ObservedController), `ended_controllers`, `proxies`,
    `unreachable` (names of controllers), `epochs` (name -> newest epoch of a list),
    `check_has_line(at, proxy)` and `on_back(at, proxy)`.
    """

    def controller(self, name, at=0):
        """Returns a controller's running incarnation, which is created at `at` ns if there is none."""
        if name not in self.controllers:
            self.controllers[name] = ObservedController(at)
        return self.controllers[name]

    def on_killed(self, at, name):
        """The incarnation ended; it is judged at the end of the day."""
        self.ended_controllers.append(self.controllers.pop(name, ObservedController(at)))

    def on_frozen(self, at, name):
        """The controller is paused from `at` ns on."""
        controller = self.controller(name)
        controller.frozen = True
        controller.frozen_at = at

    def on_thawed(self, at, name):
        """The controller resumes: running graces are extended by the pause, and deferred lists arrive."""
        controller = self.controller(name)
        controller.frozen = False
        for notice in controller.notices.values():
            if self.grace_was_running(controller, notice):
                notice.notified_at += at - controller.frozen_at
        deferred = controller.deferred_news
        controller.deferred_news = []
        for news in deferred:
            self.on_told(at, name, news)

    def grace_was_running(self, controller, notice):
        """Returns whether a drain grace had begun and not ended when the controller was paused."""
        elapsed = controller.frozen_at - notice.notified_at
        return notice.state != "ready" and elapsed < self.site.drain_grace

    def on_unheard(self, at, name):
        """The controller and its proxies reach each other late or not at all, although streams stay open."""
        self.unreachable.add(name)

    def on_heard(self, at, name):
        """The controller and its proxies reach each other again; the proxies get time to catch up."""
        self.unreachable.discard(name)
        for proxy in self.proxies.values():
            if proxy.controller is not None and proxy.controller is self.controllers.get(name):
                self.on_back(at, proxy)

    def on_pace(self, at, name, share):
        """The controller's channel runs at `share` of its rate from now on."""
        controller = self.controller(name)
        if share >= 1:
            controller.slowest_factor = 1 / controller.pace
            controller.slow_until = at
        else:
            controller.slowest_factor = 1 / share
        controller.pace = share

    def on_told(self, at, name, news):
        """The inventory answered the controller with an endpoint list or with changes to one."""
        controller = self.controller(name, at)
        if controller.frozen:
            controller.deferred_news.append(news)
            return
        for proxy in self.proxies.values():
            if proxy.controller is controller:
                self.check_has_line(at, proxy)
        entries = [(entry.backend, entry.state, entry.started) for entry in news.entries]
        newest = self.epochs.get(name, 0)
        self.epochs[name] = max(newest, news.epoch)
        if not news.since and news.epoch >= newest:  # absence from an outdated list proves nothing
            named = {entry.backend for entry in news.entries}
            entries += [(backend, "gone", 0) for backend in controller.notices if backend not in named]
        for backend, state, started in entries:
            self.note_backend(at, controller, backend, state, started)

    def note_backend(self, at, controller, backend, state, started):
        """Records a state that the controller was notified of, and which proxies have to drop the backend."""
        known = controller.notices.get(backend)
        if known and (known.state, known.started) == (state, started):
            return
        if known and known.state != "ready" and state != "ready":
            known.state = state  # draining, then gone: the grace runs from the first notice
            return
        same_start = known is not None and started == known.started
        start_known_at = known.start_known_at if same_start else at
        controller.notices[backend] = BackendNotice(state, started, at, start_known_at)
        if state == "ready":
            return
        for proxy in self.proxies.values():
            if proxy.controller is controller and backend in proxy.routing_state.routable_lines():
                proxy.awaited[backend] = at
