"""Since when weights have been replaced, as this instance has read it."""

from __future__ import annotations

import typing

from briarseam import clocks


class Retirement:
    """Times at which newer weights were first read from the store.

    Times that other instances or former processes tell don't count: their
    clocks may make a change look older than it is.

    Parameters
    ----------
    clock
        Seconds; goes on while the process is suspended.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = clocks.boot_clock
    ) -> None:
        self.clock = clock
        self.named_since_s: dict[str, dict[int, float]] = {}

    def reset(self) -> None:
        """Drop all times."""
        self.named_since_s = {}

    def review(self, named: typing.Mapping[str, int]) -> None:
        """Apply the weights that the store names now, by model.

        A store that was restored from a backup may name older ones for a
        while.  An instance that starts then takes these for the newest, so
        the others' times begin anew when they are named again.
        """
        now_s = self.clock()
        reviewed: dict[str, dict[int, float]] = {}
        for model, newest in named.items():
            known = self.named_since_s.get(model, {})
            since_s = {
                version: at_s
                for version, at_s in known.items()
                if version <= newest
            }
            since_s.setdefault(newest, now_s)
            reviewed[model] = since_s
        self.named_since_s = reviewed

    def replaced_s(self, model: str, version: int) -> float:
        """Return how long ago a version was replaced, in seconds.

        Negative if it was not.
        """
        times = [
            at_s
            for newer, at_s in self.named_since_s.get(model, {}).items()
            if newer > version
        ]
        return self.clock() - min(times) if times else -1.0

    def forget_before(self, replaced_s: float) -> None:
        """Drop what was named before weights that are in use for so long."""
        now_s = self.clock()
        for model, since_s in self.named_since_s.items():
            settled = [
                version
                for version, at_s in since_s.items()
                if now_s - at_s >= replaced_s
            ]
            if settled:
                newest = max(settled)
                self.named_since_s[model] = {
                    version: at_s
                    for version, at_s in since_s.items()
                    if version >= newest
                }
