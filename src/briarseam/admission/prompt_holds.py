"""One endpoint at a time for a prompt that has not finished anywhere yet.

Two callers may send the same prompt at once, at two entries.  If it is one
that crashes endpoints, nothing is known of it yet, and each of its runs
would take down another endpoint.  So the agent that owns the prompt's
fingerprint keeps its runs together until one has finished: what is lost
then is one endpoint, whatever the number of callers.
"""

from __future__ import annotations

import collections
import dataclasses
import threading
import time
import typing

from briarseam.admission import crash_messages as messages

# A run that is not heard of for so long has ended unnoticed.
HOLD_BOUND_S = 600.0
MAX_KNOWN = 20_000


@dataclasses.dataclass
class Held:
    """A prompt's runs under way."""

    endpoint: str
    group: str
    runs: dict[str, float] = dataclasses.field(default_factory=dict)


class PromptHolds:
    """The prompts whose fingerprints this agent owns; thread-safe.

    Parameters
    ----------
    clock
        Monotonic seconds.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = time.monotonic
    ) -> None:
        self.clock = clock
        self.lock = threading.Lock()
        self.held: dict[str, Held] = {}
        self.finished: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.suspects: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def hold(self, ask: messages.Hold) -> messages.Holding:
        """Say where a run belongs; count it in if it is there."""
        with self.lock:
            if ask.fingerprint in self.suspects:
                return messages.Holding(ask.endpoint, ask.run, True)
            if ask.fingerprint in self.finished:
                return messages.Holding(ask.endpoint, ask.run, False)
            held = self.present(ask)
            if held.endpoint == ask.endpoint:
                held.runs[ask.run] = self.clock()
            return messages.Holding(held.endpoint, held.group, False)

    def copy(self, told: messages.HoldCopy) -> messages.PromptNoted:
        """Remember a run in case its owner dies with what it knows."""
        with self.lock:
            held = self.held.get(told.fingerprint)
            if held is None or held.endpoint != told.endpoint:
                held = Held(told.endpoint, told.group)
                self.held[told.fingerprint] = held
            held.runs[told.run] = self.clock()
        return messages.PromptNoted()

    def present(self, ask: messages.Hold) -> Held:
        """Return where a prompt's runs are, or begin with this one."""
        held = self.held.get(ask.fingerprint)
        if held is not None:
            oldest = self.clock() - HOLD_BOUND_S
            held.runs = {
                run: since
                for run, since in held.runs.items()
                if since > oldest
            }
        if held is None or not held.runs:
            held = Held(ask.endpoint, ask.run)
            self.held[ask.fingerprint] = held
        return held

    def release(self, told: messages.Release) -> messages.PromptNoted:
        """Count a run out."""
        with self.lock:
            held = self.held.get(told.fingerprint)
            if held is not None:
                held.runs.pop(told.run, None)
                if not held.runs:
                    del self.held[told.fingerprint]
            if told.suspect:
                self.finished.pop(told.fingerprint, None)
                remember(self.suspects, told.fingerprint)
            elif told.whole:
                self.suspects.pop(told.fingerprint, None)
                remember(self.finished, told.fingerprint)
        return messages.PromptNoted()


def remember(names: collections.OrderedDict[str, None], name: str) -> None:
    """Add a name as the newest; the oldest of too many goes."""
    names.pop(name, None)
    names[name] = None
    if len(names) > MAX_KNOWN:
        names.popitem(last=False)
