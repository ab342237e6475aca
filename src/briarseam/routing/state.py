"""Queries to routing and their results."""

from __future__ import annotations

import dataclasses

from briarseam.cache import state as cache


@dataclasses.dataclass(frozen=True)
class PromptQuery:
    """A prompt that needs an engine.

    Attributes
    ----------
    organisation, session, model
        Organisation and session of the prompt, and the model it is for.
    chain
        Unsalted chain digests of the prompt's complete pieces.
    prompt_tokens
        Length of the prompt, in tokens.
    version
        Weight version the run must use; empty for any that is served.
    adapter
        Adapter of a run that must use ``version``.
    excluded
        Endpoints that must not get the prompt.
    refused
        Those of ``excluded`` that may get it if there is no other.
    required_endpoint
        The one endpoint that may get the prompt; empty for any.
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
        """Return the query with the endpoints that refused it allowed again.

        Guard: during a rollout each engine that is changing its weights
        refuses the prompt.  If these engines stayed excluded, the prompt
        would get "no endpoint" although they are the first to serve the new
        weights.  Lost engines stay excluded, and each attempt counts against
        the retry budget.
        """
        return dataclasses.replace(self, excluded=self.excluded - self.refused)


@dataclasses.dataclass(frozen=True)
class CallQuery:
    """A call that needs a plain service.

    Attributes
    ----------
    organisation, service
        Organisation of the caller and name of the service.
    excluded
        Endpoints that must not get the call.
    """

    organisation: str
    service: str
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Choice:
    """The endpoint that a request is routed to.

    Attributes
    ----------
    endpoint, address
        Name and address of the endpoint.
    model, version, adapter
        What the run uses; empty for service calls.
    first_token_s
        Predicted time to first token, in seconds.
    wait_s
        Part of ``first_token_s`` until a slot is free, in seconds.
    prompt_tokens
        Length of the prompt, in tokens.
    keys
        Prefix keys of the prompt's complete pieces at the engine.
    cached_pieces
        Leading pieces that the engine probably has.
    recompute_pieces
        Pieces that the engine is expected to compute.
    plan
        Blocks that are worth importing before the run.
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
    cached_pieces: int = 0
    recompute_pieces: float = 0.0
    plan: cache.Plan = cache.Plan()


@dataclasses.dataclass(frozen=True)
class NoChoice:
    """No endpoint can take the request.

    Attributes
    ----------
    detail
        Reason, in one sentence.
    retry_after_s
        Seconds until an endpoint may be available.
    """

    detail: str
    retry_after_s: float
