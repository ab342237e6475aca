"""Decodes callers' requests and encodes them for endpoints."""

from __future__ import annotations

import dataclasses
import math
import typing

from briarseam import http_heads
from briarseam.discovery import announcements
from briarseam.discovery import starts
from briarseam.forwarding import calls
from briarseam.forwarding import refusing
from briarseam.forwarding import relay_headers
from briarseam.platform import decoding
from briarseam.platform import names

MS = 1000.0
NO_ADDRESS = "-"

# In other answers the header does not concern the endpoint's load.
OVERLOADED_STATUSES = frozenset({429, 503})

Headers = typing.Sequence[tuple[str, str]]

# Headers that apply to one connection only, and those that are generated
# again for each connection.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers that the system sets.  A caller that could set them could act as
# another organisation, access its KV cache, or reserve memory.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        names.AUTHORIZATION,
        names.CACHE_SALT,
        names.EXPECT_ENDPOINT,
        names.EXPECT_VERSION,
        names.LAST_EVENT_ID,
        names.ORGANISATION,
        names.PIN,
        names.PRIORITY,
        names.RESERVATION,
        names.TIME_LEFT_MS,
        relay_headers.RELAY,
    )
)
# Headers that instances add to answers for each other.
RELAY_ANSWER_HEADERS = frozenset(
    {relay_headers.ENDPOINT.lower(), relay_headers.NOT_RUN.lower()}
)
CACHE_HEADER_PREFIX = "kv-"
BEARER_PREFIX = "bearer "
EVENT_STREAM_TYPE = "text/event-stream"


def decode_call(method: str, target: str, headers: Headers) -> calls.Call:
    """Decode a caller's request.

    Parameters
    ----------
    method, target
        From the request line.
    headers
        In the order in which they were received.

    Raises
    ------
    MalformedCallError
        If the prompt headers of a request to a model are malformed, the id of
        the request that began a stream is too long, or a header could not be
        passed on as it came.
    """
    check_headers(headers)
    by_name = {name.lower(): value for name, value in headers}
    time_left_ms = decoding.header_number(
        by_name.get(names.TIME_LEFT_MS.lower())
    )
    return calls.Call(
        id=by_name.get(names.REQUEST_ID.lower(), ""),
        method=method,
        target=target,
        host=by_name.get("host", ""),
        headers=tuple(
            (name, value)
            for name, value in headers
            if is_forwarded(name.lower())
        ),
        key=decode_key(by_name.get(names.AUTHORIZATION.lower(), "")),
        time_left_s=None if time_left_ms is None else time_left_ms / MS,
        prompt=decode_prompt(by_name),
        last_event_id=by_name.get(names.LAST_EVENT_ID.lower()),
        resumes=decode_resumes(by_name.get(names.RESUMES.lower(), "")),
    )


def check_headers(headers: Headers) -> None:
    """Check that headers can be written as they were read."""
    try:
        http_heads.check_fields(headers)
    except http_heads.MalformedFieldError as error:
        raise refusing.MalformedCallError(str(error)) from error


def decode_resumes(text: str) -> str:
    """Return the id of the request that began a stream; empty for none."""
    stream = text.strip()
    if len(stream) > decoding.MAX_CHARACTERS:
        raise refusing.MalformedCallError(
            f"{names.RESUMES} has more than {decoding.MAX_CHARACTERS} "
            "characters"
        )
    return stream


def is_forwarded(name: str) -> bool:
    """Return whether a caller's header (in lower case) is forwarded."""
    return (
        name not in CONNECTION_HEADERS
        and name not in SYSTEM_HEADERS
        and not name.startswith(CACHE_HEADER_PREFIX)
    )


def decode_key(text: str) -> str:
    """Return the key in a caller's credentials; empty if there is none."""
    if text.lower().startswith(BEARER_PREFIX):
        return text[len(BEARER_PREFIX) :].strip()
    return ""


def decode_prompt(by_name: typing.Mapping[str, str]) -> calls.Prompt | None:
    """Return a request's prompt; ``None`` if it is not for a model."""
    model = by_name.get(names.MODEL.lower())
    parts = by_name.get(names.PROMPT_PARTS.lower())
    if model is None or parts is None:
        return None
    try:
        input_tokens, _, output_tokens = by_name.get(
            names.TOKEN_COUNTS.lower(), "0,0"
        ).partition(",")
        return calls.Prompt(
            model=model,
            input_tokens=decode_tokens(input_tokens),
            output_tokens=decode_tokens(output_tokens or "0"),
            parts=tuple(
                decode_part(text) for text in parts.split(",") if text
            ),
        )
    except ValueError as error:
        raise refusing.MalformedCallError(
            f"malformed prompt: {error}"
        ) from error


def decode_part(text: str) -> calls.PromptPart:
    """Decode a part of a prompt, ``ID:TOKENS``."""
    name, _, tokens = text.strip().partition(":")
    return calls.PromptPart(name, decode_tokens(tokens))


def decode_tokens(text: str) -> int:
    """Decode a number of tokens.

    Raises
    ------
    ValueError
        If it is invalid or exceeds ``MAX_TOKENS``: numbers of tokens are
        summed and published to peers in messages that carry 64 bits.
    """
    tokens = int(text)
    if not 0 <= tokens <= decoding.MAX_TOKENS:
        raise ValueError("number of tokens out of range")
    return tokens


def forwarded_headers(call: calls.Call) -> dict[str, str]:
    """Return the headers that are forwarded unchanged."""
    headers: dict[str, str] = {}
    for name, value in call.headers:
        previous = headers.get(name)
        headers[name] = value if previous is None else f"{previous}, {value}"
    return headers


def encode_relayed(
    call: calls.Call, time_left_s: float, last_event_id: str | None
) -> dict[str, str]:
    """Return the headers of a call to another instance.

    Parameters
    ----------
    call
        The caller's request.
    time_left_s
        How long the caller still waits, in seconds.
    last_event_id
        Id of the event after which to continue the stream.
    """
    headers = forwarded_headers(call)
    headers[names.TIME_LEFT_MS] = str(max(1, int(time_left_s * MS)))
    if call.key:
        headers[names.AUTHORIZATION] = f"Bearer {call.key}"
    if last_event_id is not None:
        headers[names.LAST_EVENT_ID] = last_event_id
    return headers


def encode_headers(
    call: calls.Call, instructions: calls.Instructions
) -> dict[str, str]:
    """Return the headers of a call to an endpoint."""
    headers = forwarded_headers(call)
    expected = starts.parse(instructions.endpoint)
    headers[names.EXPECT_ENDPOINT] = expected.name
    if instructions.time_left_s is not None:
        # Rounded down: an endpoint must not work beyond the deadline.
        headers[names.TIME_LEFT_MS] = str(
            max(1, int(instructions.time_left_s * MS))
        )
    if instructions.organisation:
        headers[names.ORGANISATION] = instructions.organisation
    if instructions.priority is not None:
        headers[names.PRIORITY] = str(instructions.priority)
    if instructions.last_event_id is not None:
        headers[names.LAST_EVENT_ID] = instructions.last_event_id
    headers.update(encode_cache_headers(instructions))
    return headers


def encode_cache_headers(instructions: calls.Instructions) -> dict[str, str]:
    """Return the headers for KV cache and weight version."""
    headers: dict[str, str] = {}
    if instructions.salt:
        headers[names.CACHE_SALT] = instructions.salt
    if instructions.version is not None:
        headers[names.EXPECT_VERSION] = str(instructions.version)
    if any(instructions.fetch_from):
        headers[names.CACHE_FETCH] = join_addresses(instructions.fetch_from)
        if math.isfinite(instructions.fetch_until_ms):
            headers[names.CACHE_UNTIL] = str(int(instructions.fetch_until_ms))
    if any(instructions.save_to):
        headers[names.CACHE_SAVE] = join_addresses(instructions.save_to)
    return headers


def join_addresses(addresses: typing.Sequence[str]) -> str:
    """Join the addresses of stores, one for each part of a prompt."""
    return ",".join(address or NO_ADDRESS for address in addresses)


def decode_answer(status: int, headers: Headers) -> calls.AnswerHead:
    """Decode status and headers of an endpoint's answer."""
    by_name = {name.lower(): value for name, value in headers}
    version = by_name.get(names.WEIGHT_VERSION.lower())
    return calls.AnswerHead(
        status=status,
        headers=tuple(
            (name, value)
            for name, value in headers
            if name.lower() not in CONNECTION_HEADERS
        ),
        call_id=by_name.get(names.REQUEST_ID.lower(), ""),
        # 421 means that another endpoint now has this address.
        not_run=names.NOT_EXECUTED.lower() in by_name or status == 421,
        signed=names.SIGNATURE.lower() in by_name,
        version=decoding.header_integer(version),
        announced=decode_announcements(status, by_name),
        event_stream=is_event_stream(by_name.get("content-type")),
    )


def is_event_stream(content_type: str | None) -> bool:
    """Return whether a body of a stream's route consists of events.

    Without a type it does: the route says so.
    """
    if content_type is None:
        return True
    media_type = content_type.partition(";")[0].strip().lower()
    return media_type == EVENT_STREAM_TYPE


def decode_relayed_answer(status: int, headers: Headers) -> calls.AnswerHead:
    """Decode status and headers of an answer that an instance relayed."""
    by_name = {name.lower(): value for name, value in headers}
    head = decode_answer(status, headers)
    return dataclasses.replace(
        head,
        headers=tuple(
            (name, value)
            for name, value in head.headers
            if name.lower() not in RELAY_ANSWER_HEADERS
        ),
        # An endpoint's own rejections are not relayed as such.
        not_run=decoding.header_flag(
            by_name.get(relay_headers.NOT_RUN.lower())
        ),
        endpoint=by_name.get(relay_headers.ENDPOINT.lower(), ""),
    )


def decode_announcements(
    status: int, by_name: typing.Mapping[str, str]
) -> announcements.Announcements:
    """Return what an answer tells of its endpoint."""
    backoff_s = None
    if status in OVERLOADED_STATUSES:
        backoff_s = decoding.header_number(
            by_name.get(names.RETRY_AFTER.lower())
        )
    return announcements.Announcements(
        rate_limit=decode_rate_limit(by_name.get(names.RATE_LIMIT.lower())),
        rejection_limit=decode_rate_limit(
            by_name.get(names.REJECTION_LIMIT.lower())
        ),
        leaving=decoding.header_flag(by_name.get(names.LEAVING.lower())),
        backoff_s=backoff_s,
    )


def decode_rate_limit(text: str | None) -> announcements.AnyRateLimit:
    """Return the limit in a header."""
    if text is None:
        return announcements.NO_RATE_LIMIT
    per_s = decoding.header_number(text)
    if per_s is None:
        return announcements.UnreadableRateLimit(text)
    return announcements.RateLimit(per_s)
