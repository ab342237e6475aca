"""Placement of prompts under the crash guard."""

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
class PromptGranter:
    """Grants one prompt an endpoint.

    Attributes
    ----------
    placer
        Grants endpoints.
    organisation, request, release
        The prompt, and the version and adapter that it requires, if any.
    """

    placer: placing.Placer
    organisation: str
    request: messages.Admit
    release: orders.Offer | None

    def grant(self, only_endpoint: str, deadline: float) -> messages.Granted:
        """Grant any endpoint, or only the named one; raise a refusal."""
        remaining_ms = max(int((deadline - time.monotonic()) * MS), 1)
        request = dataclasses.replace(self.request, deadline_ms=remaining_ms)
        return self.placer.place_prompt(
            self.organisation, request, self.release, only_endpoint
        )

    def withdraw(self, granted: messages.Granted) -> None:
        """Withdraw a grant that has not been sent to an entry."""
        self.placer.withdraw(granted)


def place(
    guard: crash_guard.CrashGuard,
    placer: placing.Placer,
    organisation: str,
    request: messages.Admit,
    release: orders.Offer | None,
) -> messages.Granted:
    """Grant a prompt an endpoint, unless the crash guard refuses it.

    Raises
    ------
    verdict.RefusalError
        With the final verdict.
    """
    prompt = evidence.identify_prompt(
        organisation, request.model, request.prompt_digest
    )
    return guard.place(
        crash_guard.PlacementRequest(
            prompt, request, release.version if release else ""
        ),
        PromptGranter(placer, organisation, request, release),
    )
