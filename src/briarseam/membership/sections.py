"""Sections of other packages that heartbeats carry."""

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
        Unique over all packages.
    provide
        Returns the local agent's content; called for heartbeats, so it
        must be cheap.
    consume
        Called with a member's name and its content.
    """

    name: str
    provide: Provide
    consume: Consume


class Sections:
    """All sections of the local agent.

    Parameters
    ----------
    cache_s
        Seconds for which content is cached, since it is the same for the
        heartbeats to all peers.
    clock
        Monotonic clock.
    malformed_counter
        Counts content that can't be encoded or decoded.
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
        """Add one section.

        Raises
        ------
        ValueError
            When there is a section with this name.
        """
        with self.lock:
            if section.name in self.by_name:
                raise ValueError(f"section {section.name!r} already exists")
            self.by_name = {**self.by_name, section.name: section}
        self.invalidate()

    def invalidate(self) -> None:
        """Drop the cached content, so that the next heartbeat has new."""
        self.cached_until = 0.0

    def content(self) -> dict[str, bytes]:
        """Return the local agent's content by section name."""
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
        """Return a section's content; nothing if it can't be encoded.

        For instance, an endpoint may report a number that is out of range
        for messages.  Such an error must not end the heartbeats, or peers
        would consider this agent dead.
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
        """Pass a member's content to the consumers of its sections."""
        for name, data in content.items():
            section = self.by_name.get(name)
            if section is None:
                continue
            try:
                section.consume(member, data)
            except Exception as error:
                # Malformed content of one section must not make the member
                # look dead: its heartbeat is still valid.
                self.malformed_counter.note(
                    malformed.Kind.SECTION,
                    f"{name} of {member}",
                    f"{type(error).__name__}: {error}",
                )
