"""Log lines on standard error: JSON or columns, level from the settings.

Lines tell changes of state; what happens often is counted in
`briarseam.metrics`.
"""

from __future__ import annotations

import logging
import sys
import typing

import structlog

if typing.TYPE_CHECKING:
    from briarseam import settings

# What libraries report through the standard module below this level is
# about single requests, which belongs to the counters.
LIBRARY_LEVEL = logging.WARNING
# Longer texts are cut: clients choose ids and paths.
MAX_CHARACTERS = 400
CUT = "..."


def set_up(
    chosen: settings.Logging,
    process: str,
    stream: typing.TextIO | None = None,
    note: structlog.types.Processor | None = None,
) -> None:
    """Set up the log lines of this process, those of libraries included.

    Parameters
    ----------
    chosen
        Level and format.
    process
        Name of the process, on every line.
    stream
        Where lines go; standard error unless given.
    note
        Sees each of the system's own lines, for the time line.
    """
    target = stream or sys.stderr
    level = logging.getLevelNamesMapping()[chosen.level.upper()]
    shared = shared_processors(process)
    structlog.configure(
        processors=[
            *shared,
            *([note] if note else []),
            renderer(chosen, target),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(target),
        cache_logger_on_first_use=False,
    )
    handler = logging.StreamHandler(target)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                renderer(chosen, target),
            ],
            foreign_pre_chain=[structlog.stdlib.add_logger_name, *shared],
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(max(level, LIBRARY_LEVEL))


def shared_processors(process: str) -> list[structlog.types.Processor]:
    """Return what every line goes through before it is rendered."""

    def add_process(
        _logger: typing.Any, _name: str, event: structlog.types.EventDict
    ) -> structlog.types.EventDict:
        event["process"] = process
        return event

    return [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        add_process,
        cut_long_texts,
    ]


def cut_long_texts(
    _logger: typing.Any, _name: str, event: structlog.types.EventDict
) -> structlog.types.EventDict:
    """Cut the values of a line that are too long."""
    for key, value in event.items():
        if isinstance(value, str) and len(value) > MAX_CHARACTERS:
            event[key] = value[:MAX_CHARACTERS] + CUT
    return event


def renderer(
    chosen: settings.Logging, stream: typing.TextIO
) -> structlog.types.Processor:
    """Return what turns an event into its line."""
    if chosen.format == "json":
        return json_line
    return structlog.dev.ConsoleRenderer(
        colors=stream.isatty(),
        exception_formatter=structlog.dev.plain_traceback,
    )


def json_line(
    logger: typing.Any, name: str, event: structlog.types.EventDict
) -> str:
    """Return an event as one line of JSON, a traceback as a string."""
    with_trace = structlog.processors.format_exc_info(logger, name, event)
    render = structlog.processors.JSONRenderer(default=str)
    return str(render(logger, name, with_trace))
