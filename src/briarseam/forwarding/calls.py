"""A caller's request, and what the system adds to it."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that other prompts may share.

    Attributes
    ----------
    id
        Equal for equal parts.
    tokens
        Its length.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Prompt:
    """What a request says of its prompt.

    Attributes
    ----------
    model
        Name of the model.
    input_tokens, output_tokens
        Length of the prompt, and the longest answer.
    parts
        The prompt's parts in order; the last belongs to the request or to
        its session.
    """

    model: str
    input_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may have, too."""
        return self.parts[:-1]


@dataclasses.dataclass(frozen=True)
class Call:
    """One attempt of a caller.

    Attributes
    ----------
    id
        Unique to this attempt.
    method
        HTTP method.
    target
        Path and query as the caller sent them.
    host
        Host that the caller named.
    headers
        Headers to hand on as they came.
    key
        The caller's key; empty without one.
    time_left_s
        How long the caller still waits, in seconds; ``None`` if unsaid.
    prompt
        Set for requests to models.
    last_event_id
        Last event that the caller has of a broken stream.
    """

    id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    key: str = ""
    time_left_s: float | None = None
    prompt: Prompt | None = None
    last_event_id: str | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(frozen=True)
class Instructions:
    """What the system tells an endpoint about a request.

    Attributes
    ----------
    endpoint
        Id of the endpoint that it is meant for.
    time_left_s
        How long the caller still waits, in seconds.
    organisation
        Who asks; empty for anyone.
    priority
        From 0, the most urgent, to 9; ``None`` for the endpoint's default.
    salt
        Text under which parts are cached; empty for none.
    version
        Weights that it must run on; ``None`` for any.
    fetch_from, save_to
        Addresses for the prompt's parts, in their order.
    last_event_id
        Event after which to go on.
    """

    endpoint: str
    time_left_s: float | None = None
    organisation: str = ""
    priority: int | None = None
    salt: str = ""
    version: int | None = None
    fetch_from: tuple[str, ...] = ()
    save_to: tuple[str, ...] = ()
    last_event_id: str | None = None


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """Status and headers of an endpoint's answer.

    Attributes
    ----------
    status
        HTTP status.
    headers
        Headers to hand on.
    call_id
        The request that it answers, as the endpoint says.
    not_run
        Whether the endpoint promises that it has not run the request.
    signed
        Whether it bears the endpoint's signature.
    retry_after_s
        When to come back, as the endpoint says.
    version
        Weights that it was made on; ``None`` if unsaid.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    call_id: str
    not_run: bool = False
    signed: bool = False
    retry_after_s: float | None = None
    version: int | None = None
