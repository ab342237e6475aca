"""Pieces of a prompt and the chain digests that identify its prefixes.

A prompt is split at white space into tokens, and its tokens into pieces of
``PIECE_TOKENS``.  The digest of a piece covers all pieces before it and the
salt, so equal digests mean equal prefixes under the same salt.
"""

from __future__ import annotations

import hashlib

PIECE_TOKENS = 1000
"""Tokens in a piece, the unit in which engines cache prefixes."""

DIGEST_BYTES = 16
"""Length of a chain digest."""

SALTED = b"salted"
"""Separates salted digests from the digests of a chain."""


def split(prompt: str) -> list[str]:
    """Split a prompt into its tokens.

    Parameters
    ----------
    prompt
        The text.

    Returns
    -------
    list[str]
        Its tokens, in order.
    """
    return prompt.split()


def chain(prompt: str, salt: str = "") -> list[bytes]:
    """Return the digest of each prefix of complete pieces of a prompt.

    Parameters
    ----------
    prompt
        The text.
    salt
        Separates prefixes that must not match, see :func:`salt_of`.

    Returns
    -------
    list[bytes]
        Digest ``i`` identifies the prefix of ``i + 1`` pieces; an
        incomplete last piece has none.
    """
    return chain_tokens(split(prompt), salt)


def chain_tokens(tokens: list[str], salt: str = "") -> list[bytes]:
    """Return the digest of each prefix of complete pieces of tokens.

    Parameters
    ----------
    tokens
        The tokens, in order.
    salt
        Separates prefixes that must not match, see :func:`salt_of`.

    Returns
    -------
    list[bytes]
        Digest ``i`` identifies the prefix of ``i + 1`` pieces.
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
    """Return the digest by which an engine identifies a salted prefix.

    An entry splits the prompt before it knows the salt, so the salt is
    applied to each unsalted digest instead of being part of the chain.

    Parameters
    ----------
    digest
        Chain digest without a salt, of fixed length, so different pairs
        of digest and salt never have the same bytes.
    salt
        Separates prefixes that must not match; empty for none.

    Returns
    -------
    bytes
        The digest itself if there is no salt.
    """
    if not salt:
        return digest
    hasher = hashlib.blake2b(digest, digest_size=DIGEST_BYTES, person=SALTED)
    hasher.update(salt.encode())
    return hasher.digest()


def salt_of(organisation: str, adapter: str | None = None) -> str:
    """Return the salt that identifies a run's prefixes.

    Parameters
    ----------
    organisation
        The run's opaque cache salt, empty for none.
    adapter
        The adapter that the run uses; its KV differs from that of the
        model without an adapter.

    Returns
    -------
    str
        The salt for :func:`chain`.
    """
    if adapter is None:
        return organisation
    return f"{organisation}\0{adapter}"
