"""Sections that other slices let ride on heartbeats."""

from __future__ import annotations

import dataclasses
import threading
import typing

from briarseam import malformed

Provide = typing.Callable[[], bytes]
Consume = typing.Callable[[str, bytes], None]


@dataclasses.dataclass(frozen=True)
class Section:
    """One section.

    Attributes
    ----------
    name
        Unique over all slices.
    provide
        Returns this agent's content; called for each heartbeat, so it
        must be cheap.
    consume
        Takes a member's name and its new content.
    """

    name: str
    provide: Provide
    consume: Consume


class Sections:
    """All sections of this agent.

    Parameters
    ----------
    keep_s
        Seconds for which content is kept: each peer's thread asks for it
        at each heartbeat, and slices need not work it out for each.
    clock
        Monotonic clock.
    tally
        Notes content that can't be read.
    """

    def __init__(
        self,
        cache_s: float,
        clock: typing.Callable[[], float],
        malformed_counter: malformed.Tally | None = None,
    ) -> None:
        self.malformed_counter = malformed_counter or malformed.Tally()
        self.cache_s = cache_s
        self.clock = clock
        self.lock = threading.Lock()
        self.by_name: dict[str, Section] = {}
        self.cached: dict[str, bytes] = {}
        self.cached_until = 0.0

    def add(self, section: Section) -> None:
        """Add one section; its name must be free."""
        with self.lock:
            if section.name in self.by_name:
                raise ValueError(f"section {section.name!r} is taken")
            self.by_name = {**self.by_name, section.name: section}
        self.invalidate()

    def invalidate(self) -> None:
        """Ask the slices anew for the next heartbeat."""
        self.cached_until = 0.0

    def content(self) -> dict[str, bytes]:
        """Return this agent's content by section name."""
        now = self.clock()
        if now >= self.cached_until:
            self.cached_until = now + self.cache_s
            self.cached = {
                section.name: data
                for section in self.by_name.values()
                for data in self.provide(section)
            }
        return self.cached

    def provide(self, section: Section) -> tuple[bytes, ...]:
        """Return a section's content, nothing if it can't be made.

        A number from elsewhere that no message carries would end the thread
        that sends heartbeats, and peers would take this agent for dead.
        """
        try:
            return (section.provide(),)
        except Exception as error:
            self.malformed_counter.note(
                malformed.Kind.SECTION,
                f"{section.name} of this instance",
                f"{type(error).__name__}: {error}",
            )
            return ()

    def consume(
        self, member: str, content: typing.Mapping[str, bytes]
    ) -> None:
        """Hand a member's content to the slices that asked for it."""
        for name, data in content.items():
            section = self.by_name.get(name)
            if section is None:
                continue
            try:
                section.consume(member, data)
            except Exception as error:
                # One slice's bad content must not make the member look
                # dead: its heartbeat still counts.
                self.malformed_counter.note(
                    malformed.Kind.SECTION,
                    f"{name} of {member}",
                    f"{type(error).__name__}: {error}",
                )
