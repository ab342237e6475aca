"""Holds a prompt to one endpoint until it has finished there once.

Two callers may send the same prompt at the same time, at two entries.  If
the prompt crashes endpoints, there is no evidence of it yet, and each run
would take down another endpoint.  The agent that owns the prompt's
fingerprint therefore keeps all of its runs at one endpoint until one has
finished, so that at most one endpoint is lost whatever the number of callers.
"""

from __future__ import annotations

import collections
import dataclasses
import threading
import time
import typing

from briarseam.admission import crash_messages as messages

# A run that is held for this long has ended without a report.
HOLD_TIMEOUT_S = 600.0
MAX_REMEMBERED = 20_000


@dataclasses.dataclass
class HeldPrompt:
    """A prompt's active runs.

    Attributes
    ----------
    endpoint
        Where all of them run.
    group
        Run id of the first of them.
    runs
        Time when each run was recorded, by run id, in monotonic seconds.
    """

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
        self.held: dict[str, HeldPrompt] = {}
        self.finished: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.suspects: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def hold(self, query: messages.Hold) -> messages.Holding:
        """Return where a run belongs, and record it if it is there."""
        with self.lock:
            if query.fingerprint in self.suspects:
                return messages.Holding(query.endpoint, query.run, True)
            if query.fingerprint in self.finished:
                return messages.Holding(query.endpoint, query.run, False)
            held = self.current(query)
            if held.endpoint == query.endpoint:
                held.runs[query.run] = self.clock()
            return messages.Holding(held.endpoint, held.group, False)

    def copy(self, message: messages.HoldCopy) -> messages.PromptNoted:
        """Record a run in case the prompt's owner dies."""
        with self.lock:
            held = self.held.get(message.fingerprint)
            if held is None or held.endpoint != message.endpoint:
                held = HeldPrompt(message.endpoint, message.group)
                self.held[message.fingerprint] = held
            held.runs[message.run] = self.clock()
        return messages.PromptNoted()

    def current(self, query: messages.Hold) -> HeldPrompt:
        """Return a prompt's current hold, or start one with this run."""
        held = self.held.get(query.fingerprint)
        if held is not None:
            oldest = self.clock() - HOLD_TIMEOUT_S
            held.runs = {
                run: recorded_at
                for run, recorded_at in held.runs.items()
                if recorded_at > oldest
            }
        if held is None or not held.runs:
            held = HeldPrompt(query.endpoint, query.run)
            self.held[query.fingerprint] = held
        return held

    def release(self, message: messages.Release) -> messages.PromptNoted:
        """Remove a run that is over, and record how it ended."""
        with self.lock:
            held = self.held.get(message.fingerprint)
            if held is not None:
                held.runs.pop(message.run, None)
                if not held.runs:
                    del self.held[message.fingerprint]
            if message.suspect:
                self.finished.pop(message.fingerprint, None)
                remember(self.suspects, message.fingerprint)
            elif message.whole:
                self.suspects.pop(message.fingerprint, None)
                remember(self.finished, message.fingerprint)
        return messages.PromptNoted()


def remember(names: collections.OrderedDict[str, None], name: str) -> None:
    """Add a name as the newest, and drop the oldest of too many."""
    names.pop(name, None)
    names[name] = None
    if len(names) > MAX_REMEMBERED:
        names.popitem(last=False)
