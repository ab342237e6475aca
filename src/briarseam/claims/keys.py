"""Idempotency keys: UUIDv7, whose own time tells when a key was made.

A key is judged only against the log service's clock, which stamps each
record.  Our own clocks differ between instances and may be wrong, so no
verdict on a key's age rests on them.
"""

from __future__ import annotations

import dataclasses
import enum
import re
import secrets

import xxhash

# Eight, four, four, four and twelve hex digits; version 7, variant 10.
UUID7 = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)
TIME_HEX_DIGITS = 12
RANDOM_BITS = 74
RANDOM_B_BITS = 62
DEFAULT_SKEW_MS = 60_000


class Age(enum.Enum):
    """How a key's own time stands to the log's clock."""

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
        When it was made, by its maker's clock, in ms since the epoch.
    """

    text: str
    time_ms: int


@dataclasses.dataclass(frozen=True)
class Window:
    """How long a key is good for.

    Attributes
    ----------
    length_ms
        Greatest age.  It must be less than the log's retention by a
        margin larger than ``skew_ms``, so that every record about a key
        that is still accepted is still in the log.
    skew_ms
        How far ahead of the log's clock a key's maker may be.
    """

    length_ms: int
    skew_ms: int = DEFAULT_SKEW_MS

    def age(self, time_ms: int, now_ms: int) -> Age:
        """Judge a key's time against the log's clock.

        A key from the future would outlive the records about it, and one
        older than the window already may have: both could run twice.

        Parameters
        ----------
        time_ms
            The key's own time.
        now_ms
            The log's clock.
        """
        if now_ms - time_ms > self.length_ms:
            return Age.TOO_OLD
        if time_ms - now_ms > self.skew_ms:
            return Age.FROM_FUTURE
        return Age.CURRENT


def parse(text: str) -> Key | None:
    """Return the key written as ``text``; ``None`` unless a UUIDv7."""
    lowered = text.strip().lower()
    if UUID7.fullmatch(lowered) is None:
        return None
    digits = lowered.replace("-", "")
    return Key(lowered, int(digits[:TIME_HEX_DIGITS], 16))


def make(time_ms: int) -> str:
    """Return a fresh UUIDv7 for a time in ms since the epoch."""
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
    """Return the number of the shard that keeps a key.

    The length in front of the organisation keeps two splits of the same
    text apart.
    """
    text = f"{len(organisation)}:{organisation}{key}"
    return xxhash.xxh3_64_intdigest(text.encode()) % shards
