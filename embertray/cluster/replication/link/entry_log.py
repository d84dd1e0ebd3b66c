"""Which entries a process committed or applied, in its log: one line an entry at the debug level."""

import logging

import xxhash


def value_digest(value):
    """Identifies a value in logs, as 16 hexadecimal digits; None for a removal."""
    return None if value is None else xxhash.xxh64_hexdigest(value)


def log_entries(log, event, entries):
    """Logs one line for each entry; nothing is computed if the debug level is off.

    Args:
        log: a structlog logger.
        event: what happened to the entries.
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
