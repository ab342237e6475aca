"""Messages with which an entry looks up addresses at its agent."""

from __future__ import annotations

import dataclasses

from briarseam.wire import codec


@codec.message("where")
@dataclasses.dataclass(frozen=True)
class Where:
    """Query for the entry addresses that a session should use.

    Attributes
    ----------
    token_digest
        blake2b-16 hex digest of the caller's bearer token; empty without
        a token.
    session
        The caller's session name; may be empty.
    """

    token_digest: str
    session: str


@codec.message("addresses")
@dataclasses.dataclass(frozen=True)
class Addresses:
    """Addresses to which a caller should connect.

    Attributes
    ----------
    addresses
        ``ip:port``, best first.
    ttl_s
        How long the caller may keep the answer.
    """

    addresses: tuple[str, ...]
    ttl_s: float
