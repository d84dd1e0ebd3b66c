"""Structured logging to standard error, as one JSON object per line or in a readable console format."""

import logging
import sys

import structlog


def configure_logging(output_format, level):
    """Configure structlog. `output_format`: json | console; `level`: name of a level of `logging`."""
    renderer = (
        structlog.processors.JSONRenderer()
        if output_format == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
    )
