"""Answer ids: authenticated tokens that say where an answer runs.

An answer id carries all that is needed to find the run again, so no
process keeps a table and any entry can resume any answer.  Its MAC keeps
a caller from naming another organisation's run.
"""

from __future__ import annotations

import base64
import dataclasses
import hashlib
import hmac

import msgpack
import msgspec

MAC_BYTES = 16
LABEL = b"answer-id"
# The alphabet has a dash, and a word that begins with one is an option on a
# command line.
PREFIX = "a"


class AnswerIdError(Exception):
    """Not an answer id that this system gave out."""


@dataclasses.dataclass(frozen=True)
class AnswerId:
    """What an answer id says.

    Attributes
    ----------
    organisation
        Whose answer it is.
    endpoint
        Where it runs.
    run_id
        Its name there.
    model, version
        What produces it.
    home
        Address of the agent that granted it, which counts its resumes.
    adapter
        Adapter that it was begun with; empty for none.
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
    """Return what a token says.

    Raises
    ------
    AnswerIdError
        When it was not sealed under ``key``.
    """
    raw = decode(token)
    mac, payload = raw[:MAC_BYTES], raw[MAC_BYTES:]
    if not hmac.compare_digest(mac, compute_mac(payload, key)):
        raise AnswerIdError("not an answer id of this system")
    fields = msgspec.convert(msgpack.unpackb(payload), tuple[str, ...])
    # A later release may add fields at the end.
    return AnswerId(*fields[: len(dataclasses.fields(AnswerId))])


def decode(token: str) -> bytes:
    """Return the MAC and payload of a token, unchecked.

    Raises
    ------
    AnswerIdError
        When it has another form.
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
    mac.update(LABEL)
    return mac.digest()
