"""Pieces of a prompt and the chain digests that name its prefixes.

A prompt is cut at white space into tokens, and its tokens into pieces of
``PIECE_TOKENS``.  The digest of a piece covers all pieces before it and the
salt, so equal digests mean equal prefixes under one salt.
"""

from __future__ import annotations

import hashlib

PIECE_TOKENS = 1000
"""Tokens of one piece, the unit in which engines cache prefixes."""

DIGEST_BYTES = 16
"""Length of a chain digest."""

SALTED = b"salted"
"""Keeps salted names apart from the digests of a chain."""


def split(prompt: str) -> list[str]:
    """Cut a prompt into its tokens.

    Parameters
    ----------
    prompt
        The text.

    Returns
    -------
    list[str]
        Its words, in order.
    """
    return prompt.split()


def chain(prompt: str, salt: str = "") -> list[bytes]:
    """Name every whole-piece prefix of a prompt.

    Parameters
    ----------
    prompt
        The text.
    salt
        Keeps prefixes apart that must not match, see :func:`salt_of`.

    Returns
    -------
    list[bytes]
        Digest ``i`` names the prefix of ``i + 1`` pieces; a last part
        piece has none.
    """
    return chain_tokens(split(prompt), salt)


def chain_tokens(tokens: list[str], salt: str = "") -> list[bytes]:
    """Name every whole-piece prefix of a list of tokens.

    Parameters
    ----------
    tokens
        The words, in order.
    salt
        Keeps prefixes apart that must not match, see :func:`salt_of`.

    Returns
    -------
    list[bytes]
        Digest ``i`` names the prefix of ``i + 1`` pieces.
    """
    digests = []
    digest = b""
    for end in range(PIECE_TOKENS, len(tokens) + 1, PIECE_TOKENS):
        text = " ".join(tokens[end - PIECE_TOKENS : end])
        hasher = hashlib.blake2b(digest, digest_size=DIGEST_BYTES)
        hasher.update(text.encode())
        digest = hasher.digest()
        digests.append(digest)
    return [salted(digest, salt) for digest in digests]


def salted(digest: bytes, salt: str) -> bytes:
    """Return the digest by which an engine names a prefix under a salt.

    An entry cuts the prompt before anyone has told it the salt, so the
    salt goes over each plain digest and not into the chain.

    Parameters
    ----------
    digest
        Chain digest without a salt, of fixed length, so no two splits
        into digest and salt have the same bytes.
    salt
        Keeps prefixes apart that must not match; empty for none.

    Returns
    -------
    bytes
        The digest itself when there is no salt.
    """
    if not salt:
        return digest
    hasher = hashlib.blake2b(digest, digest_size=DIGEST_BYTES, person=SALTED)
    hasher.update(salt.encode())
    return hasher.digest()


def salt_of(organisation: str, adapter: str | None = None) -> str:
    """Return the salt under which a run's prefixes are named.

    Parameters
    ----------
    organisation
        The run's opaque cache salt, empty for none.
    adapter
        The adapter that the run uses; its KV differs from the plain
        model's.

    Returns
    -------
    str
        The salt for :func:`chain`.
    """
    if adapter is None:
        return organisation
    return f"{organisation}\0{adapter}"
