"""Bearer tokens: callers' digests and operators' derived tokens."""

from __future__ import annotations

import hashlib
import hmac

DIGEST_BYTES = 16
LABEL = b"operator-token"


def digest(token: str) -> str:
    """Return the blake2b-16 hex under which configuration knows a token."""
    data = token.encode()
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def operator_token(team: str, key: bytes) -> str:
    """Return the bearer token that a team's key gives its operators.

    The key itself signs changes and never travels.
    """
    mac = hmac.new(key, LABEL + team.encode(), hashlib.sha256)
    return f"{team}:{mac.hexdigest()}"
