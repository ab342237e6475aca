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


Finding = messages.Result | Held


@dataclasses.dataclass
class Waiter:
    """A claimant that waits for its claim to be read back."""

    claim: records.Claim
    result: Finding | None = None
    decided: threading.Event = dataclasses.field(
        default_factory=threading.Event
    )

    def decide(self, result: Finding) -> None:
        """Give the claimant its answer."""
        self.result = result
        self.decided.set()


@dataclasses.dataclass
class Confirmation:
    """Settlements that wait to be read back."""

    open: set[records.Settlement]
    confirmed: set[records.Settlement] = dataclasses.field(default_factory=set)
    decided: threading.Event = dataclasses.field(
        default_factory=threading.Event
    )

    def close(self, item: records.Settlement, confirmed: bool) -> None:
        """Note one settlement's end; wake the waiter after the last."""
        self.open.discard(item)
        if confirmed:
            self.confirmed.add(item)
        if not self.open:
            self.decided.set()
