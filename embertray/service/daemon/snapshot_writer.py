"""Writes snapshots of the endpoint list."""

import anyio

from embertray.common.snapshots import CONFIRMATION_PERIOD_NS, SNAPSHOT_PERIOD_NS

NS_PER_SECOND = 10**9


class SnapshotWriter:
    """Writes a snapshot soon after each change, and periodically while the inventory confirms the list.

    Args:
        service: The Service.
    """

    def __init__(self, service):
        self._service = service
        self._due = anyio.Event()

    def request(self):
        """Requests a snapshot after a change of the list."""
        self._due.set()

    async def run(self):
        """Writes until cancelled."""
        service = self._service
        while True:
            with anyio.move_on_after(CONFIRMATION_PERIOD_NS / NS_PER_SECOND):
                await self._due.wait()
            self._due = anyio.Event()
            if not service.endpoint_list.connected or not service.trust.discovery_answered:
                continue
            now = service.clock.now()
            await self._write(now)
            await service.clock.sleep_until(now + SNAPSHOT_PERIOD_NS)

    async def _write(self, now):
        """Writes a snapshot.

        An OSError of a full or failing disk is logged and counted. The controller serves on: the previous
        snapshot remains for the next start.
        """
        service = self._service
        store = service.snapshot_store
        snapshot = service.frontend.make_snapshot(now, store.clock_reading())
        try:
            if store.blocking:
                await anyio.to_thread.run_sync(store.save, snapshot)
            else:
                store.save(snapshot)
            service.counters.saves += 1
        except OSError as error:
            service.counters.save_fails += 1
            service.log.warning("snapshot not written; the previous one remains", why=str(error))
