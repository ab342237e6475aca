"""Keys of what may crash endpoints, the same at all instances.

A key stands for a request that is repeated, or for a part that prompts share.
"""

from __future__ import annotations

import hashlib
import typing

if typing.TYPE_CHECKING:
    import collections.abc

HASH_BYTES = 12
# Begin of the keys of each kind.
REQUEST = b"r:"
PART = b"p:"


def key_of_request(path: str, caller: str, body: bytes) -> bytes:
    """Return a key that is the same for repeats of a request."""
    hashed = hashlib.blake2b(digest_size=HASH_BYTES)
    for field in (path.encode("latin-1", "replace"), caller.encode()):
        hashed.update(len(field).to_bytes(4, "big"))
        hashed.update(field)
    hashed.update(body)
    return REQUEST + hashed.digest()


def key_of_part(model: str, isolated_organisation: str, part_id: str) -> bytes:
    """Return the key of a part of prompts for a model."""
    hashed = hashlib.blake2b(digest_size=HASH_BYTES)
    for text in (model, isolated_organisation, part_id):
        encoded = text.encode("utf-8", "replace")
        hashed.update(len(encoded).to_bytes(4, "big"))
        hashed.update(encoded)
    return PART + hashed.digest()


def is_request(key: bytes) -> bool:
    """Return whether a key stands for a request."""
    return key.startswith(REQUEST)


def only_requests(keys: collections.abc.Iterable[bytes]) -> frozenset[bytes]:
    """Return the keys that stand for requests."""
    return frozenset(filter(is_request, keys))
