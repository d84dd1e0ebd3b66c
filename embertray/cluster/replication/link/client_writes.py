"""Client writes at one replica: validated, proposed in the replica's loop, and awaited."""

from functools import partial

from embertray.cluster.replication.exceptions import VersionNotKeptError, WriteRejectedError
from embertray.cluster.replication.replica_state import Role

from .pending_writes import PendingWrite, PendingWrites, check_write

WRITE_TIMEOUT_S = 5.0  # covers most elections and a round; after it the outcome of the write is unknown


class ClientWrites:
    """Puts, removals and rollbacks. Only the leader accepts them; other replicas raise NotLeaderError.

    Args:
        replica: the Replica.
        events: the EventQueue of the replica's loop.
        max_value_bytes: largest accepted value, bytes.
    """

    def __init__(self, replica, events, max_value_bytes):
        self.replica = replica
        self.events = events
        self.max_value_bytes = max_value_bytes
        self.pending = PendingWrites()

    async def put(self, key, value, request, expected, timeout):
        """Writes a key, or removes it if `value` is None. See ReplicaServer.put."""
        check_write(key, value, request, self.max_value_bytes)
        return await self._write(request, partial(self._put, key, value, expected), timeout)

    async def rollback(self, key, version, request, timeout):
        """Writes an earlier value again. See ReplicaServer.rollback."""
        check_write(key, None, request, self.max_value_bytes)
        return await self._write(request, partial(self._rollback, key, version), timeout)

    async def _write(self, request, propose, timeout):
        write = PendingWrite(request)
        self.events.submit(partial(self._propose, propose, write))
        return await write.result(timeout)

    def _propose(self, propose, write, now):
        try:
            write.revision = propose(write, now)
        except WriteRejectedError as error:
            write.fail(error)
        else:
            self.pending.add(write)

    def _put(self, key, value, expected, write, now):
        return self.replica.put(now, key, value, write.request, expected)

    def _rollback(self, key, version, write, now):
        return self.replica.put(now, key, self._value_at(key, version, write), write.request)

    def _value_at(self, key, version, write):
        """The value that the key had at a revision; None for a removal.

        Only the leader rejects a version that is not kept: a follower may lack versions that the leader has,
        and has to reject the write with the leader's name instead. A repeated call writes nothing, so its
        version need not exist any more.
        """
        entry = self.replica.store.entry_at(key, version)
        repeated = write.request in self.replica.store.requests
        if entry is None and self.replica.role is Role.LEADER and not repeated:
            raise VersionNotKeptError(f"{key} is not kept at version {version}")
        return entry.value if entry is not None else None
