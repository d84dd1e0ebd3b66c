"""Reads batches of events from the simulator and replies with orders, for any number of controllers."""

from . import wire
from .controller import EVENT_READERS, SimulatedController
from .exceptions import WireError

EXIT_OK = 0
EXIT_MALFORMED = 1


class BatchReader:
    """Reads batches, and runs a step of each controller that has events in a batch.

    Attributes:
        controllers: Controller number -> SimulatedController.
        now: Time of the open batch, ns; None between batches.
    """

    def __init__(self):
        self.controllers = {}
        self.now = None
        self.batch = None  # number of the batch
        self.recipient = None  # number of the controller that the following lines are for
        self.entries_missing = 0  # entries that the current list update still lacks
        self.list_update = None  # the current list update; None if its controller is unknown
        self.events = {}  # controller number -> its events, in order of first mention

    def begin_batch(self, values):
        """Opens a batch."""
        self.now = values["now"]
        self.batch = values["batch"]
        self.recipient = None
        self.entries_missing = 0
        self.list_update = None
        self.events = {}

    def read_line(self, text):
        """Reads one line.

        Returns:
            The lines of the reply if the line ends the batch, else None.

        Raises:
            WireError: The line is malformed or out of place.
        """
        name, _, rest = text.partition(" ")
        if name == wire.BATCH_BEGIN:
            if self.now is not None:
                raise WireError(f"{name} inside a batch")
            self.begin_batch(wire.read_fields(name, wire.read_pairs(rest)))
            return None
        if self.now is None:
            raise WireError(f"{name} before {wire.BATCH_BEGIN}")
        if self.entries_missing and name != wire.LIST_ENTRY:
            raise WireError(f"{wire.LIST_UPDATE} is {self.entries_missing} entries short")
        if name == wire.BATCH_END:
            return self._finish_batch()
        if name in wire.FIELDS:
            pairs = wire.read_pairs(rest)
            self._read_batch_line(name, pairs, wire.read_fields(name, pairs))
        return None

    def _read_batch_line(self, name, pairs, values):
        """Handles a line within a batch, by its name, pairs and values. Raises WireError."""
        if name == wire.RECIPIENT:
            self.recipient = values["controller"]
        elif self.recipient is None:
            raise WireError(f"{name} before {wire.RECIPIENT}")
        elif name == wire.LIST_ENTRY:
            self._add_entry(values)
        elif name == wire.START:
            self.controllers[self.recipient] = SimulatedController(values["seed"], pairs, self.now)
            self.events[self.recipient] = []
        elif name == wire.KILL:
            self.controllers.pop(self.recipient, None)
            self.events.pop(self.recipient, None)
        else:
            self._add_event(name, values)

    def _add_entry(self, values):
        """Adds an entry to the current list update; surplus entries are ignored."""
        if self.entries_missing:
            self.entries_missing -= 1
            if self.list_update:
                self.list_update.entries.append(self.controllers[self.recipient].endpoint(values))

    def _add_event(self, name, values):
        """Adds an event; it is ignored if its controller is unknown."""
        controller = self.controllers.get(self.recipient)
        event = EVENT_READERS[name](controller, values) if controller else None
        if name == wire.LIST_UPDATE:
            self.entries_missing = values.get("entries", 0)
            self.list_update = event
            if self.entries_missing < 0:
                raise WireError(f"{name}: {wire.ENTRIES.key} is below 0")
        if event:
            self.events.setdefault(self.recipient, []).append(event)

    def _finish_batch(self):
        """Closes the batch and returns the lines of the reply; no step runs after a failed one."""
        reply = []
        for number, events in self.events.items():
            lines, failed = self.controllers[number].step(self.now, events)
            if lines:
                reply.append(wire.sender_line(number))
                reply += lines
            if failed:
                break
        reply.append(wire.batch_done(self.batch))
        self.now = None
        return reply


def serve(source, sink, errors):
    """Serves batches to the end of the input.

    Args:
        source: Text file with the lines of the simulator.
        sink: Text file for the replies.
        errors: Text file for the message about a malformed line.

    Returns:
        The exit code.
    """
    reader = BatchReader()
    for count, line in enumerate(source, 1):
        text = line.rstrip("\r\n")
        if not text:
            continue
        try:
            reply = reader.read_line(text)
        except WireError as error:
            errors.write(f"embertray: line {count}: {error}\n")
            return EXIT_MALFORMED
        if reply:
            sink.write("\n".join(reply) + "\n")
            sink.flush()
    return EXIT_OK
