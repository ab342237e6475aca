"""What routing is asked and what it answers."""

from __future__ import annotations

import dataclasses

from briarseam.cache import state as cache


@dataclasses.dataclass(frozen=True)
class PromptQuery:
    """A prompt that needs an engine.

    Attributes
    ----------
    organisation, session, model
        Whose prompt, of which session, for which model.
    chain
        Plain chain digests of the prompt's whole pieces.
    prompt_tokens
        Length of the prompt.
    version
        Weight version the run must use; empty for any that is served.
    adapter
        Adapter of a run that must use ``version``.
    excluded
        Endpoints that must not get it.
    refused
        Those of ``excluded`` that may get it if there is no other.
    required_endpoint
        The one endpoint that may get it; empty for any.
    """

    organisation: str
    session: str
    model: str
    chain: tuple[bytes, ...]
    prompt_tokens: int
    version: str = ""
    adapter: str = ""
    excluded: frozenset[str] = frozenset()
    refused: frozenset[str] = frozenset()
    required_endpoint: str = ""

    def with_refused(self) -> PromptQuery:
        """Return the same with the endpoints that refused it let in again.

        Guard: in a rollout a prompt is refused by each engine that is just
        changing its weights.  Were these excluded for good, the prompt would
        be told that there is no endpoint once they are the first with the
        new weights.  An engine that was lost stays excluded, and each try
        counts against the budget of retries.
        """
        return dataclasses.replace(self, excluded=self.excluded - self.refused)


@dataclasses.dataclass(frozen=True)
class CallQuery:
    """A call that needs a plain service.

    Attributes
    ----------
    organisation, service
        Who calls what.
    excluded
        Endpoints that must not get it.
    """

    organisation: str
    service: str
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Choice:
    """The endpoint to use.

    Attributes
    ----------
    endpoint, address
        Which one, and where.
    model, version, adapter
        What the run uses there; empty for service calls.
    first_token_s
        Predicted time to first token.
    wait_s
        Of it, time until a slot is free.
    prompt_tokens
        Length of the prompt.
    keys
        Names of the prompt's whole pieces at the engine.
    have
        Leading pieces it probably has.
    recompute_pieces
        Pieces it is expected to compute.
    plan
        What is worth importing first.
    """

    endpoint: str
    address: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    first_token_s: float = 0.0
    wait_s: float = 0.0
    prompt_tokens: int = 0
    keys: tuple[bytes, ...] = ()
    have: int = 0
    recompute_pieces: float = 0.0
    plan: cache.Plan = cache.Plan()


@dataclasses.dataclass(frozen=True)
class NoChoice:
    """No endpoint can take it.

    Attributes
    ----------
    detail
        One sentence.
    retry_after_s
        When one may.
    """

    detail: str
    retry_after_s: float
