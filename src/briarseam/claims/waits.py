"""Threads that wait for claims or settlements to be read back."""

from __future__ import annotations

import dataclasses
import threading

from briarseam.claims import messages
from briarseam.claims import records


@dataclasses.dataclass(frozen=True)
class Held:
    """Another attempt holds the key; its agent may be alive or gone.

    Attributes
    ----------
    claim
        The claim that holds the key.
    retry_after_s
        Seconds until its outcome is expected.
    """

    claim: records.Claim
    retry_after_s: float


StreamResult = messages.Result | Held


@dataclasses.dataclass
class ClaimWaiter:
    """Waits for a claim to be read back."""

    claim: records.Claim
    result: StreamResult | None = None
    done: threading.Event = dataclasses.field(default_factory=threading.Event)

    def decide(self, result: StreamResult) -> None:
        """Set the result and wake the waiting thread."""
        self.result = result
        self.done.set()


@dataclasses.dataclass
class SettlementWaiter:
    """Waits for settlements to be read back."""

    pending: set[records.Settlement]
    confirmed: set[records.Settlement] = dataclasses.field(default_factory=set)
    done: threading.Event = dataclasses.field(default_factory=threading.Event)

    def close(self, item: records.Settlement, confirmed: bool) -> None:
        """End the wait for one settlement; wake the thread after the last."""
        self.pending.discard(item)
        if confirmed:
            self.confirmed.add(item)
        if not self.pending:
            self.done.set()
