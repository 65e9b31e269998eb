"""Structured logging: one logfmt line for each event."""

from __future__ import annotations

import logging
import sys

import structlog

Logger = structlog.typing.FilteringBoundLogger


def configure(*, level: str) -> None:
    """Configures the process to log to standard error."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"],
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=False,
    )


def get(**values: str) -> Logger:
    """Returns a logger with values bound to each of its lines."""
    logger: Logger = structlog.get_logger(**values)
    return logger
