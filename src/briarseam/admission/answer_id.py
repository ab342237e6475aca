"""Answer ids: authenticated tokens that identify the run of an answer.

An answer id holds all that is needed to find the run, so that any entry can
resume any answer without a table of runs.  Its MAC prevents a caller from
naming a run of another organisation.
"""

from __future__ import annotations

import base64
import dataclasses
import hashlib
import hmac

import msgpack
import msgspec

MAC_BYTES = 16
MAC_LABEL = b"answer-id"
# The base64url alphabet contains a dash, and a command line takes an argument
# that begins with one for an option.
PREFIX = "a"


class AnswerIdError(Exception):
    """The token is not an answer id that was sealed under this key."""


@dataclasses.dataclass(frozen=True)
class AnswerId:
    """The content of an answer id.

    Attributes
    ----------
    organisation
        Organisation that the answer belongs to.
    endpoint
        Endpoint that runs it.
    run_id
        Id of the run at the endpoint.
    model, version
        Model and weight version of the run.
    home
        Address of the agent that granted the run, which counts its resumes.
    adapter
        Adapter of the run; empty for none.
    """

    organisation: str
    endpoint: str
    run_id: str
    model: str
    version: str
    home: str = ""
    adapter: str = ""


def seal(answer: AnswerId, key: bytes) -> str:
    """Return the token of an answer id, safe in a URL path."""
    payload = msgpack.packb(dataclasses.astuple(answer))
    mac = compute_mac(payload, key)
    text = base64.urlsafe_b64encode(mac + payload).rstrip(b"=").decode()
    return PREFIX + text


def unseal(token: str, key: bytes) -> AnswerId:
    """Return the content of a token.

    Raises
    ------
    AnswerIdError
        When the token was not sealed under ``key``.
    """
    raw = decode(token)
    mac, payload = raw[:MAC_BYTES], raw[MAC_BYTES:]
    if not hmac.compare_digest(mac, compute_mac(payload, key)):
        raise AnswerIdError("not an answer id of this system")
    fields = msgspec.convert(msgpack.unpackb(payload), tuple[str, ...])
    # A later release may append fields.
    return AnswerId(*fields[: len(dataclasses.fields(AnswerId))])


def decode(token: str) -> bytes:
    """Return the MAC and payload of a token without checking the MAC.

    Raises
    ------
    AnswerIdError
        When the token has no prefix or is not base64.
    """
    text = token.removeprefix(PREFIX)
    if text == token:
        raise AnswerIdError("not an answer id")
    try:
        return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except ValueError as error:
        raise AnswerIdError("not an answer id") from error


def compute_mac(payload: bytes, key: bytes) -> bytes:
    """Return the MAC of a payload."""
    mac = hashlib.blake2b(payload, key=key[:64], digest_size=MAC_BYTES)
    mac.update(MAC_LABEL)
    return mac.digest()
