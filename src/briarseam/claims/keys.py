"""Idempotency keys: UUIDv7, which contain their creation time.

The age of a key is judged only by the log service's clock, which stamps each
record.  The clocks of the instances differ and may be wrong, so they are not
used for this.
"""

from __future__ import annotations

import dataclasses
import enum
import re
import secrets

import xxhash

# 8, 4, 4, 4 and 12 hex digits; version 7, variant 0b10.
UUID7 = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)
TIME_HEX_DIGITS = 12
RANDOM_BITS = 74
RANDOM_B_BITS = 62
DEFAULT_SKEW_MS = 60_000


class Age(enum.Enum):
    """Age of a key by the log's clock."""

    CURRENT = "current"
    TOO_OLD = "too-old"
    FROM_FUTURE = "from-future"


@dataclasses.dataclass(frozen=True)
class Key:
    """A well-formed idempotency key.

    Attributes
    ----------
    text
        Canonical lower-case form.
    time_ms
        Creation time by the caller's clock, in ms since the epoch.
    """

    text: str
    time_ms: int


@dataclasses.dataclass(frozen=True)
class Window:
    """How long a key is valid.

    Attributes
    ----------
    length_ms
        Maximum age in ms.  It must be less than the log's retention by a
        margin larger than ``skew_ms``, so that the log still has every
        record about a key that is still accepted.
    skew_ms
        How far a caller's clock may be ahead of the log's, in ms.
    """

    length_ms: int
    skew_ms: int = DEFAULT_SKEW_MS

    def age(self, time_ms: int, now_ms: int) -> Age:
        """Compare a key's time with the log's clock.

        A key from the future would be valid for longer than the log has its
        records, and the records of one older than the window may be gone
        already: the request of either could run twice.

        Parameters
        ----------
        time_ms
            The key's own time, in ms since the epoch.
        now_ms
            The log's clock, in ms since the epoch.
        """
        if now_ms - time_ms > self.length_ms:
            return Age.TOO_OLD
        if time_ms - now_ms > self.skew_ms:
            return Age.FROM_FUTURE
        return Age.CURRENT


def parse(text: str) -> Key | None:
    """Parse a key; return ``None`` if ``text`` is not a UUIDv7."""
    lowered = text.strip().lower()
    if UUID7.fullmatch(lowered) is None:
        return None
    digits = lowered.replace("-", "")
    return Key(lowered, int(digits[:TIME_HEX_DIGITS], 16))


def make(time_ms: int) -> str:
    """Generate a UUIDv7 for a time in ms since the epoch."""
    random = secrets.randbits(RANDOM_BITS)
    high = (time_ms << 16) | 0x7000 | (random >> RANDOM_B_BITS)
    low = (0b10 << RANDOM_B_BITS) | (random & ((1 << RANDOM_B_BITS) - 1))
    digits = f"{(high << 64) | low:032x}"
    parts = (
        digits[:8],
        digits[8:12],
        digits[12:16],
        digits[16:20],
        digits[20:],
    )
    return "-".join(parts)


def shard_of(organisation: str, key: str, shards: int) -> int:
    """Return the number of the shard of a key.

    The length prefix of the organisation distinguishes different splits of
    the same text.
    """
    text = f"{len(organisation)}:{organisation}{key}"
    return xxhash.xxh3_64_intdigest(text.encode()) % shards
