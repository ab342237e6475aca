"""Sections that other slices let ride on heartbeats."""

from __future__ import annotations

import dataclasses
import threading
import typing

import structlog

Provide = typing.Callable[[], bytes]
Consume = typing.Callable[[str, bytes], None]
log = structlog.get_logger("briarseam.membership")


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
    """

    def __init__(
        self, keep_s: float, clock: typing.Callable[[], float]
    ) -> None:
        self.keep_s = keep_s
        self.clock = clock
        self.lock = threading.Lock()
        self.by_name: dict[str, Section] = {}
        self.kept: dict[str, bytes] = {}
        self.kept_until = 0.0

    def add(self, section: Section) -> None:
        """Add one section; its name must be free."""
        with self.lock:
            if section.name in self.by_name:
                raise ValueError(f"section {section.name!r} is taken")
            self.by_name = {**self.by_name, section.name: section}
        self.renew()

    def renew(self) -> None:
        """Ask the slices anew for the next heartbeat."""
        self.kept_until = 0.0

    def content(self) -> dict[str, bytes]:
        """Return this agent's content by section name."""
        now = self.clock()
        if now >= self.kept_until:
            self.kept_until = now + self.keep_s
            self.kept = {
                name: section.provide()
                for name, section in self.by_name.items()
            }
        return self.kept

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
            except Exception:
                # One slice's bad content must not make the member look
                # dead: its heartbeat still counts.
                log.exception("section_failed", section=name, peer=member)
