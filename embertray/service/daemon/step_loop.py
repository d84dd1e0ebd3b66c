"""Runs the controller's steps: wakes on events and timers, and carries out the result of each step."""

import anyio

from embertray.common.net.exceptions import CONNECTION_ERRORS, AddressError
from embertray.controller.channel.timeouts import PROBE_TIMEOUT_NS

NS_PER_SECOND = 10**9


class StepLoop:
    """The step loop of a Service.

    Args:
        service: The Service.
    """

    def __init__(self, service):
        self._service = service
        self._woken = anyio.Event()

    def wake(self):
        """Runs the next step as soon as the site's tick allows."""
        self._woken.set()

    async def run(self, group):
        """Runs steps until cancelled; probes run in the task group.

        All events of one wake-up are handled in one step, and there is at most one step per tick of the site.
        """
        clock = self._service.clock
        while True:
            self._woken = anyio.Event()
            now = clock.now()
            step = self._service.frontend.advance(now)
            self._carry_out(now, step, group)
            check_at = self._service.proxies.check(now)
            await self._wait_until(self._service.frontend.next_at(), check_at)
            await clock.sleep_until(now + self._service.site.tick)

    async def _wait_until(self, *times):
        """Waits for `wake` or the earliest of the times (ns; None: never)."""
        due = [time for time in times if time is not None]
        if not due:
            await self._woken.wait()
            return
        remaining = max(0, min(due) - self._service.clock.now())
        with anyio.move_on_after(remaining / NS_PER_SECOND):
            await self._woken.wait()

    def _carry_out(self, now, step, group):
        service = self._service
        for name, orders in step.outgoing:
            service.proxies.send(now, name, orders)
        for text in step.log_lines:
            service.log.info("decision", says=text)
        if step.subscribe is not None or step.poll_list:
            service.endpoint_list.request(step.poll_list)
        self._log_changes(step)
        self._cut_streams(now, step)
        self._limit_cluster()
        if step.refetch_list:
            service.endpoint_list.request(complete=True)
        for backend in step.probes:
            group.start_soon(self._probe, backend)

    def _log_changes(self, step):
        change = step.level_change
        if change is not None:
            self._service.log.warning(
                "service level changed", old=change.old, new=change.new, why=change.reason
            )
        for notice in step.notices:
            self._service.log.warning(
                f"memory {notice.text}",
                purpose=notice.purpose,
                bytes=notice.size,
                cap=notice.cap,
                action=notice.action,
            )

    def _cut_streams(self, now, step):
        for name, reason in step.cuts:
            stream = self._service.streams.get(name)
            if stream is not None:
                self._service.proxies.cut(now, stream, reason)

    def _limit_cluster(self):
        """Blocks growth of the gossiped state while the cluster's memory account is at its cap."""
        account = self._service.core.accounts.by_purpose.get("cluster")
        if self._service.cluster and account:
            account.action_count = self._service.cluster.set_growth_blocked(account.at_cap)

    async def _probe(self, backend):
        """Probes a backend: whether it accepts a connection within PROBE_TIMEOUT_NS, and how soon."""
        answered = False
        with anyio.move_on_after(PROBE_TIMEOUT_NS / NS_PER_SECOND):
            try:
                async with await self._service.net.dial(backend):
                    answered = True
            except (*CONNECTION_ERRORS, AddressError):
                pass  # the backend is down or its address is invalid: no answer
        self._service.core.probe_finished(self._service.clock.now(), backend, answered)
        self.wake()
