"""Messages between an entry and its agent about addresses."""

from __future__ import annotations

import dataclasses

from briarseam.wire import codec


@codec.message("where")
@dataclasses.dataclass(frozen=True)
class Where:
    """Ask which entry addresses a session should use.

    Attributes
    ----------
    token_digest
        blake2b-16 hex of the caller's bearer token; empty without one.
    session
        The caller's session name, may be empty.
    """

    token_digest: str
    session: str


@codec.message("addresses")
@dataclasses.dataclass(frozen=True)
class Addresses:
    """Where a caller should connect.

    Attributes
    ----------
    addresses
        ``ip:port``, best first.
    ttl_s
        How long the caller may keep the answer.
    """

    addresses: tuple[str, ...]
    ttl_s: float
