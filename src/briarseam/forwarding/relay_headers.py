"""Headers of requests that one instance passes on to another.

A relayed request is the caller's own, sent over HTTP.  One more header tells
what of its limits the sender has used up, and proves that the sender is an
instance of this system.
"""

from __future__ import annotations

import dataclasses
import hashlib
import hmac
import typing
import urllib.parse

from briarseam import verdict

if typing.TYPE_CHECKING:
    from briarseam.forwarding import calls

RELAY: typing.Final = "Briarseam-Relay"
# In answers: the endpoint's start that answered; absent if the instance
# itself answered.
ENDPOINT: typing.Final = "Briarseam-Endpoint"
# In answers: "1" if the request has not run, and will not.
NOT_RUN: typing.Final = "Briarseam-Not-Run"
PURPOSE = b"briarseam relay\0"
MAX_SENDS = 1000
MS = 1000
Header = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class Usage:
    """What a request has used up before it was passed on.

    Attributes
    ----------
    sends
        Number of attempts that reached an endpoint.
    counted
        Whether the retry budget of the sender has counted the request.
    waited_s
        Time since the first instance got it, in seconds.
    software
        Software version that the stream must go on at, if it has begun.
    """

    sends: int = 0
    counted: bool = False
    waited_s: float = 0.0
    software: str | None = None


def encode(key: bytes, call: calls.Call, usage: Usage) -> str:
    """Return the value of the header for a call."""
    waited_ms = max(0, round(usage.waited_s * MS))
    text = f"{usage.sends} {int(usage.counted)} {waited_ms}"
    if usage.software is not None:
        text = f"{text} {urllib.parse.quote(usage.software, safe='')}="
    return f"{text} {mac_of(key, call, text)}"


def decode(key: bytes, call: calls.Call, value: str) -> Usage | None:
    """Return what the header tells; ``None`` unless the sender has the key."""
    text, _, mac = value.rpartition(" ")
    if not hmac.compare_digest(
        mac.encode("latin-1", "replace"), mac_of(key, call, text).encode()
    ):
        return None
    sends, counted, waited_ms, *software = text.split(" ")
    return Usage(
        min(int(sends), MAX_SENDS),
        counted == "1",
        int(waited_ms) / MS,
        urllib.parse.unquote(software[0][:-1]) if software else None,
    )


def of_verdict(final_verdict: verdict.Verdict) -> tuple[Header, ...]:
    """Return the headers of an answer that no endpoint has given."""
    if isinstance(final_verdict, verdict.NotRun):
        return ((NOT_RUN, "1"),)
    return ()


def of_endpoint(endpoint_id: str) -> tuple[Header, ...]:
    """Return the headers of an answer of an endpoint."""
    return ((ENDPOINT, endpoint_id),)


def mac_of(key: bytes, call: calls.Call, text: str) -> str:
    """Return the authentication code of a header for one call."""
    content = "\0".join((call.id, call.method, call.target, text))
    return hmac.new(
        key, PURPOSE + content.encode("latin-1", "replace"), hashlib.sha256
    ).hexdigest()
