"""The checksum by which engines and stores confirm a block."""

from __future__ import annotations

import hashlib

CHECKSUM_BYTES = 16


def checksum_of(content: bytes) -> str:
    """Return the checksum of a block.

    Parameters
    ----------
    content
        Its bytes.

    Returns
    -------
    str
        Hexadecimal digits.
    """
    digest = hashlib.blake2b(content, digest_size=CHECKSUM_BYTES)
    return digest.hexdigest()
