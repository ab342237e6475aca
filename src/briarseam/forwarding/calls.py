"""A caller's request and the instructions for its endpoint."""

from __future__ import annotations

import dataclasses
import math

from briarseam.discovery import announcements


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that other prompts may share.

    Attributes
    ----------
    id
        Identifies the part; equal parts have equal ids.
    tokens
        Length in tokens.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Prompt:
    """Description of a request's prompt.

    Attributes
    ----------
    model
        Name of the model.
    input_tokens, output_tokens
        Length of the prompt and maximum length of the answer.
    parts
        The prompt's parts in order; the last one is specific to the request
        or its session.
    """

    model: str
    input_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may also have."""
        return self.parts[:-1]


@dataclasses.dataclass(frozen=True)
class Call:
    """A caller's request.

    Attributes
    ----------
    id
        Unique to this request; a repeat by the caller has another.
    method
        HTTP method.
    target
        Path and query as received.
    host
        Host that the request is addressed to.
    headers
        Headers to forward unchanged.
    key
        The caller's API key; empty if there is none.
    time_left_s
        How long the caller still waits, in seconds; ``None`` if unknown.
    prompt
        Set for requests to models.
    last_event_id
        Id of the last event that the caller has of an interrupted stream.
    resumes
        Id of the request that brought the first event of that stream; empty
        for none.
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
    resumes: str = ""

    @property
    def stream(self) -> str:
        """Id of the stream: of the request that began it."""
        return self.resumes or self.id

    @property
    def continues_stream(self) -> bool:
        """Whether the caller has the beginning of the stream."""
        return bool(self.resumes) or self.last_event_id is not None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(frozen=True)
class Instructions:
    """Instructions to an endpoint about a request.

    Attributes
    ----------
    endpoint
        Id of the endpoint that the request is meant for.
    time_left_s
        How long the caller still waits, in seconds.
    organisation
        The caller's organisation; empty for anonymous callers.
    priority
        From 0, the most urgent, to 9; ``None`` for the endpoint's default.
    salt
        Cache salt of the prompt's parts; empty for none.
    version
        Weight version that it must run on; ``None`` for any.
    fetch_from, save_to
        Addresses for the prompt's parts, in order.
    fetch_until_ms
        Time by the endpoints' clock at which a fetch that is not complete is
        discarded; infinite for never.
    last_event_id
        Id of the event after which to continue the stream.
    """

    endpoint: str
    time_left_s: float | None = None
    organisation: str = ""
    priority: int | None = None
    salt: str = ""
    version: int | None = None
    fetch_from: tuple[str, ...] = ()
    save_to: tuple[str, ...] = ()
    fetch_until_ms: float = math.inf
    last_event_id: str | None = None


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """Status and headers of an endpoint's answer.

    Attributes
    ----------
    status
        HTTP status.
    headers
        Headers to forward.
    call_id
        Id of the request that it answers, as sent by the endpoint.
    not_run
        Whether the endpoint guarantees that it did not run the request.
    signed
        Whether it has the endpoint's signature.
    version
        Weight version that produced it; ``None`` if unknown.
    announced
        What it tells of the endpoint.
    endpoint
        Id of the endpoint that answered, if another instance tells it.
    event_stream
        Whether the body is a stream of events.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    call_id: str
    not_run: bool = False
    signed: bool = False
    version: int | None = None
    announced: announcements.Announcements = announcements.NONE
    endpoint: str = ""
    event_stream: bool = True
