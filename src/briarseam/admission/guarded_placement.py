"""Granting a prompt under the crash guard, as admission does it."""

from __future__ import annotations

import dataclasses
import time
import typing

from briarseam.admission import crash_guard
from briarseam.admission import evidence
from briarseam.admission import messages

if typing.TYPE_CHECKING:
    from briarseam.admission import placing
    from briarseam.orders import state as orders

MS = 1000.0


@dataclasses.dataclass(frozen=True)
class PromptPlacing:
    """Grants one prompt.

    Attributes
    ----------
    placer
        Grants endpoints.
    organisation, request, release
        The prompt, and the version and adapter it must have, if any.
    """

    placer: placing.Placer
    organisation: str
    request: messages.Admit
    release: orders.Offer | None

    def grant(self, only: str, deadline: float) -> messages.Granted:
        """Grant any endpoint, or the named one; raise a refusal."""
        left_ms = max(int((deadline - time.monotonic()) * MS), 1)
        request = dataclasses.replace(self.request, deadline_ms=left_ms)
        return self.placer.place_prompt(
            self.organisation, request, self.release, only
        )

    def withdraw(self, granted: messages.Granted) -> None:
        """Take a grant back that was told to nobody."""
        self.placer.withdraw(granted)


def place(
    guard: crash_guard.CrashGuard,
    placer: placing.Placer,
    organisation: str,
    request: messages.Admit,
    release: orders.Offer | None,
) -> messages.Granted:
    """Grant a prompt an endpoint, if it may run at all.

    Raises
    ------
    verdict.RefusalError
        With the final verdict.
    """
    case = evidence.identify_prompt(
        organisation, request.model, request.prompt_digest
    )
    return guard.place(
        crash_guard.Asked(case, request, release.version if release else ""),
        PromptPlacing(placer, organisation, request, release),
    )
