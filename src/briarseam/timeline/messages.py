"""Messages by which processes hand on their events."""

from __future__ import annotations

import dataclasses
import enum

from briarseam.timeline import event as events
from briarseam.wire import codec


class Scope(enum.StrEnum):
    """Whose events a fetch asks for."""

    PROCESS = "process"
    INSTANCE = "instance"
    EVERYWHERE = "everywhere"


@codec.message("fetch-events")
@dataclasses.dataclass(frozen=True)
class FetchEvents:
    """Ask for events.

    Attributes
    ----------
    filter
        Which ones.
    scope
        Of the process alone, of all processes of its instance, or of all
        instances.
    limit
        Most events to return; the newest are kept.
    """

    filter: events.Filter = events.Filter()
    scope: Scope = Scope.PROCESS
    limit: int = 4096


@dataclasses.dataclass(frozen=True)
class Source:
    """What came from one process.

    Attributes
    ----------
    process
        Its name.
    dropped
        Events that its ring no longer holds, asked for or not.
    oldest
        Stamp of the oldest event it still holds; 0 when it holds none.
    error
        Why nothing came; empty when it answered.
    """

    process: str
    dropped: int = 0
    oldest: int = 0
    error: str = ""


@codec.message("events")
@dataclasses.dataclass(frozen=True)
class Events:
    """The events asked for.

    Attributes
    ----------
    events
        In causal order.
    sources
        One for each process that was asked.
    cut
        Events left out at the old end because of the limit.
    """

    events: tuple[events.Event, ...]
    sources: tuple[Source, ...]
    cut: int = 0
