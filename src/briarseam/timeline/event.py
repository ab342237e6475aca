"""What the time line is made of."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.timeline import clock

REQUEST_FIELDS = ("run", "key")

Scalar = str | int | float | bool


@dataclasses.dataclass(frozen=True)
class Event:
    """One thing that happened in one process.

    Attributes
    ----------
    clock
        Hybrid logical stamp, see :mod:`briarseam.timeline.clock`; strictly
        increasing within a process, so it also names the event there.
    process
        Name of the process.
    kind
        What happened, one word with dashes, such as ``"granted"``.
    request
        Run id or other id of the request; empty when about none.
    path
        Path in the configuration tree; empty when about none.
    endpoint
        The endpoint; empty when about none.
    organisation
        The organisation; empty when about none.
    fields
        Ids and counts besides; never words of a prompt or an answer.
    """

    clock: int
    process: str
    kind: str
    request: str = ""
    path: str = ""
    endpoint: str = ""
    organisation: str = ""
    fields: dict[str, Scalar] = dataclasses.field(default_factory=dict)

    @property
    def time(self) -> str:
        """The wall part of the stamp, UTC."""
        return clock.iso_of(self.clock)


@dataclasses.dataclass(frozen=True)
class Filter:
    """Which events are asked for; an empty word asks for all.

    Attributes
    ----------
    request
        A request by its name, its run or its idempotency key.
    also
        Other names of the same request.
    path, endpoint
        As in :class:`Event`; a path also stands for all paths below it.
        Several filters are joined by "and".
    after
        Only events stamped later than this.
    """

    request: str = ""
    path: str = ""
    endpoint: str = ""
    after: int = 0
    also: tuple[str, ...] = ()

    def matches(self, event: Event) -> bool:
        """Tell whether ``event`` is asked for."""
        return (
            event.clock > self.after
            and (not self.request or self.is_about(event))
            and self.endpoint in ("", event.endpoint)
            and (not self.path or is_under(event.path, self.path))
        )

    def is_about(self, event: Event) -> bool:
        """Tell whether an event is about the request asked for."""
        wanted = (self.request, *self.also)
        return any(name in wanted for name in names_of(event) if name)


def names_of(event: Event) -> tuple[Scalar, ...]:
    """Return the names under which an event's request is known."""
    found = [event.fields.get(name, "") for name in REQUEST_FIELDS]
    return (event.request, *found)


def is_under(path: str, parent: str) -> bool:
    """Tell whether ``path`` is ``parent`` or a path below it."""
    stem = parent.rstrip("/")
    return path == stem or path.startswith(stem + "/")


def described(fields: typing.Mapping[str, Scalar]) -> str:
    """Return fields as ``name=value`` words in the order given."""
    return " ".join(f"{name}={value}" for name, value in fields.items())
