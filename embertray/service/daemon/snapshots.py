"""What is kept on disk of the list, and when."""

import anyio

from embertray.common.snapshots import CONFIRMATION_PERIOD_NS, SNAPSHOT_PERIOD_NS


class SnapshotWriter:
    """Of one `host`, a Service: writes snapshots."""

    def __init__(self, host):
        self.host, self.due = host, anyio.Event()

    async def run(self):
        """Snapshots: soon after each change, and now and then while the list stands confirmed."""
        while True:
            with anyio.move_on_after(CONFIRMATION_PERIOD_NS / 1e9):
                await self.due.wait()
            self.due = anyio.Event()
            if not self.host.list.connected or not self.host.trust.discovery_answered:
                continue
            now = self.host.clock.now()
            snapshot = self.host.frontend.make_snapshot(now, self.host.kept.clock_reading())
            try:
                if self.host.kept.blocking:
                    await anyio.to_thread.run_sync(self.host.kept.save, snapshot)
                else:
                    self.host.kept.save(snapshot)
                self.host.counted["saves"] += 1
            except OSError as wrong:
                self.host.counted["save_fails"] += 1
                self.host.log.warning("the list is not kept; what was kept before stands", why=str(wrong))
            await self.host.clock.sleep_until(now + SNAPSHOT_PERIOD_NS)
