"""Those who wait for a claim or a settlement to be read back."""

from __future__ import annotations

import dataclasses
import threading

from briarseam.claims import messages
from briarseam.claims import records


@dataclasses.dataclass(frozen=True)
class Held:
    """Another attempt holds the key; whether it is alive is to be asked.

    Attributes
    ----------
    claim
        The claim that holds it.
    retry_after_s
        When its outcome is expected, in seconds.
    """

    claim: records.Claim
    retry_after_s: float


StreamResult = messages.Result | Held


@dataclasses.dataclass
class ClaimWaiter:
    """A claimant that waits for its claim to be read back."""

    claim: records.Claim
    result: StreamResult | None = None
    done: threading.Event = dataclasses.field(default_factory=threading.Event)

    def decide(self, result: StreamResult) -> None:
        """Give the claimant its answer."""
        self.result = result
        self.done.set()


@dataclasses.dataclass
class SettlementWaiter:
    """Settlements that wait to be read back."""

    pending: set[records.Settlement]
    confirmed: set[records.Settlement] = dataclasses.field(default_factory=set)
    done: threading.Event = dataclasses.field(default_factory=threading.Event)

    def close(self, item: records.Settlement, confirmed: bool) -> None:
        """Note one settlement's end; wake the waiter after the last."""
        self.pending.discard(item)
        if confirmed:
            self.confirmed.add(item)
        if not self.pending:
            self.done.set()
