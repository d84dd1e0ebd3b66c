"""Logging of committed and applied entries: one debug line per entry."""

import logging

import xxhash


def value_digest(value):
    """Digest that identifies a value in logs, as 16 hexadecimal digits; None for a removal."""
    return None if value is None else xxhash.xxh64_hexdigest(value)


def log_entries(log, event, entries):
    """Logs one line per entry; computes nothing if the debug level is disabled.

    Args:
        log: a structlog logger.
        event: name of the log event.
        entries: Entry objects.
    """
    if not log.is_enabled_for(logging.DEBUG):
        return
    for entry in entries:
        log.debug(
            event,
            key=entry.key,
            revision=entry.revision,
            term=entry.term,
            request=entry.request,
            digest=value_digest(entry.value),
        )
