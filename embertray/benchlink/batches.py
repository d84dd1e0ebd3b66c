"""Batches of the bench's wire: lines in, replies out, for as many controllers as the bench starts."""

from . import wire
from .controller import EVENT_READERS, SimulatedController
from .exceptions import WireError

EXIT_OK = 0
EXIT_MALFORMED = 1


class BatchReader:
    """Reads batches and runs a step of each controller that a batch has events for.

    Attributes:
        controllers: Number -> its SimulatedController.
        now: Of the batch that is open, ns; None between batches.
    """

    def __init__(self):
        self.controllers = {}
        self.now = None
        self.batch = None  # number of the batch
        self.recipient = None  # number of the controller that the next lines are for
        self.entries_missing = 0  # of the list's news that came last
        self.list_update = None  # those news; None if they are for no known controller
        self.events = {}  # number of a controller -> its events, in order of first mention

    def begin_batch(self, values):
        """A batch begins."""
        self.now = values["now"]
        self.batch = values["batch"]
        self.recipient = None
        self.entries_missing = 0
        self.list_update = None
        self.events = {}

    def read_line(self, text):
        """Take one line.

        Returns:
            The reply's lines if it ends the batch, else None.

        Raises:
            WireError: it is malformed or stands where it may not.
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
        """Take a line within a batch by its name, pairs and values. Raises WireError."""
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
        """An entry of the list's news; one too many is skipped."""
        if self.entries_missing:
            self.entries_missing -= 1
            if self.list_update:
                self.list_update.entries.append(self.controllers[self.recipient].endpoint(values))

    def _add_event(self, name, values):
        """An event; it is skipped if its controller is not known."""
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
        """The batch ends. Returns the reply's lines; a module that failed is the last that is run."""
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
    """Run to the end of input.

    Args:
        source: Text file with the wire's lines.
        sink: Text file for the replies.
        errors: Text file for the one message about a malformed line.

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
