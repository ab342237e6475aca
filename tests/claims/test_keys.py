from __future__ import annotations

import uuid

import pytest

from briarseam.claims import keys

NOW_MS = 1_800_000_000_000
WINDOW = keys.Window(3_600_000, 60_000)


def test_generated_key_is_a_uuid7_with_its_time() -> None:
    text = keys.make(NOW_MS)
    parsed = keys.parse(text.upper())
    assert uuid.UUID(text).version == 7
    assert uuid.UUID(text).variant == uuid.RFC_4122
    assert parsed == keys.Key(text, NOW_MS)


@pytest.mark.parametrize(
    "text",
    ["", "booking-1", str(uuid.uuid4()), "{" + keys.make(NOW_MS) + "}"],
    ids=["empty", "free text", "uuid4", "braces"],
)
def test_other_keys_are_invalid(text: str) -> None:
    assert keys.parse(text) is None


@pytest.mark.parametrize(
    ("made_ms", "age"),
    [
        (NOW_MS, keys.Age.CURRENT),
        (NOW_MS - 3_600_000, keys.Age.CURRENT),
        (NOW_MS - 3_600_001, keys.Age.TOO_OLD),
        (NOW_MS + 60_000, keys.Age.CURRENT),
        (NOW_MS + 60_001, keys.Age.FROM_FUTURE),
    ],
    ids=["now", "oldest", "too old", "ahead", "future"],
)
def test_age_is_judged_by_the_logs_clock(made_ms: int, age: keys.Age) -> None:
    assert WINDOW.age(made_ms, NOW_MS) is age


def test_shard_depends_on_where_organisation_ends() -> None:
    shards = 1 << 30
    assert keys.shard_of("ab", "c", shards) != keys.shard_of("a", "bc", shards)
