"""What routing knows, and what it is asked."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class PromptAsk:
    """A prompt that needs an engine.

    Attributes
    ----------
    organisation, session, model
        Whose prompt, of which session, for which model.
    chain
        Chain digests of the prompt's whole pieces.
    prompt_tokens
        Length of the prompt.
    max_tokens
        Most tokens of the answer.
    version
        Weight version the run must use; empty for the one configured.
    excluded
        Endpoints that must not get it.
    """

    organisation: str
    session: str
    model: str
    chain: tuple[bytes, ...]
    prompt_tokens: int
    max_tokens: int
    version: str = ""
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class CallAsk:
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
    version, adapter
        Weight version and adapter the run must use.
    first_token_s
        Predicted time to first token.
    """

    endpoint: str
    address: str
    version: str = ""
    adapter: str = ""
    first_token_s: float = 0.0


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
