"""What a process committed or applied, in its log: one line an entry at the debug level."""

import logging

import xxhash


def value_digest(value):
    """Names a value in logs; None is a removal."""
    return None if value is None else xxhash.xxh64_hexdigest(value)


def log_entries(log, event, entries):
    """Lines that say which entries; nothing is made of them if nobody listens."""
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
