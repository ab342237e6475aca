"""Keys of the shared parts of prompts, the same at all instances."""

from __future__ import annotations

import hashlib
import typing

if typing.TYPE_CHECKING:
    from briarseam.forwarding import calls

KEY_BYTES = 12


def keys_of(
    prompt: calls.Prompt | None, isolated_organisation: str
) -> dict[bytes, str]:
    """Return the ids of a prompt's shared parts, by key.

    Keys of an isolated organisation are its own, so that its losses neither
    refuse the prompts of others nor tell of them.

    Parameters
    ----------
    prompt
        The prompt; ``None`` for a request without one.
    isolated_organisation
        Name of the caller's organisation if it is isolated, else empty.
    """
    if prompt is None:
        return {}
    return {
        key_of(prompt.model, isolated_organisation, part.id): part.id
        for part in prompt.shared
    }


def key_of(model: str, isolated_organisation: str, part_id: str) -> bytes:
    """Return the key of a part, the same at all instances."""
    hashed = hashlib.blake2b(digest_size=KEY_BYTES)
    for text in (model, isolated_organisation, part_id):
        encoded = text.encode("utf-8", "replace")
        hashed.update(len(encoded).to_bytes(4, "big"))
        hashed.update(encoded)
    return hashed.digest()
