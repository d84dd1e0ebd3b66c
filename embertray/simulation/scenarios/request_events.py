"""Event handlers of the rule checker for requests of proxies: the rules `duplicate` and `drain`."""

SECOND_NS = 10**9


class RequestEvents:
    """The handlers of events of a request.

    The checker also has `site`, `proxies`, `backends` (name -> model), `attempts` ((proxy, request key) ->
    [(backend, outcome, sent at ns)]), `cold_starts` (backend -> (started at ns, sends)),
    `is_out_of_reach(proxy)`, `grace_was_running(controller, notice)` and `add_violation(rule, at, text)`.
    """

    def on_sent(self, at, name, backend, request, key):
        """A proxy sent an attempt of a request to a backend."""
        proxy = self.proxies[name]
        notice = proxy.controller.notices.get(backend) if proxy.controller else None
        attempts = self.attempts.setdefault((name, key), [])
        self.check_not_duplicated(at, name, backend, request, attempts)
        attempts.append((backend, "out", at))
        self.check_drained(at, proxy, backend, notice)
        self.note_cold_send(at, proxy, backend, request, notice)

    def check_not_duplicated(self, at, name, backend, request, attempts):
        """Rule `duplicate`: a request that may have run is not retried unless it may run twice.

        A deduplicated kind may run twice within its window and, if windows are kept by zone, within one zone.
        """
        kind = next(kind for kind in self.site.kinds if kind.external_id == request.kind)
        for earlier_backend, outcome, sent_at in attempts:
            if not self.may_have_run(outcome):
                continue
            if kind.again == "non-replayable" or self.is_past_deduplication(
                at - sent_at, kind, earlier_backend, backend
            ):
                self.add_violation(
                    "duplicate",
                    at,
                    f"{name} sent a {kind.external_id} again to {backend} after '{outcome}' at "
                    f"{earlier_backend}",
                )

    def may_have_run(self, outcome):
        """Returns whether an attempt with this outcome may have been executed by its backend."""
        if outcome == "refused":
            return False
        return outcome != "full" or self.site.full_may_have_run

    def is_past_deduplication(self, age, kind, earlier_backend, backend):
        """Returns whether a copy, `age` ns after the first attempt, is not recognized as a duplicate."""
        if kind.again != "deduplicated":
            return False
        if age > self.site.windows[kind]:
            return True
        return kind.group == "zone" and self.backends[earlier_backend].zone != self.backends[backend].zone

    def check_drained(self, at, proxy, backend, notice):
        """Rule `drain`: after the grace a joined proxy does not send to a backend that drains or is gone."""
        if proxy.controller is None or notice is None or notice.state == "ready":
            return
        if self.is_out_of_reach(proxy) or at <= proxy.excused_until:
            return
        controller = proxy.controller
        if controller.frozen and self.grace_was_running(controller, notice):
            return
        since = max(notice.notified_at, proxy.joined_at)
        if at - since > self.site.drain_grace * controller.time_factor(since):
            ago = (at - since) / SECOND_NS
            self.add_violation("drain", at, f"{proxy.name} sent to {backend}, {notice.state} {ago:.2f} s ago")

    def note_cold_send(self, at, proxy, backend, request, notice):
        """Records work sent to a cold backend, and whether the proxy's orders reflect the start."""
        if backend not in self.cold_starts:
            return
        knows = bool(notice and notice.started) and (
            proxy.newest_stamp > notice.start_known_at or at - notice.start_known_at > self.site.drain_grace
        )
        _, sends = self.cold_starts[backend]
        sends.append((at, request.work, knows))

    def on_failed(self, at, name, backend, key, outcome):
        """An attempt in flight at that backend failed."""
        attempts = self.attempts.get((name, key), [])
        for n, (tried, earlier_outcome, sent_at) in enumerate(attempts):
            if tried == backend and earlier_outcome == "out":
                attempts[n] = (tried, outcome, sent_at)
