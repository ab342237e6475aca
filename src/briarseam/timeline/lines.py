"""Log lines as events.

A line is written only when a state changes, which is what a time line
shows; so each line of this process also becomes an event, and a slice that
logs a change need not note it a second time.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import structlog

    from briarseam.timeline import ring as rings

IGNORED = frozenset({"timestamp", "process", "event", "exc_info"})
ABOUT = frozenset({"request", "path", "endpoint", "organisation"})


class LineNotes:
    """A structlog processor that notes each line and passes it on.

    Parameters
    ----------
    ring
        The process's events.
    """

    def __init__(self, ring: rings.Ring) -> None:
        self.ring = ring

    def __call__(
        self,
        _logger: typing.Any,
        _name: str,
        line: structlog.types.EventDict,
    ) -> structlog.types.EventDict:
        """Note a line."""
        fields = {
            name: value for name, value in line.items() if name not in IGNORED
        }
        for name in ABOUT & fields.keys():
            fields[name] = str(fields[name])
        self.ring.note(str(line["event"]).replace("_", "-"), **fields)
        return line
