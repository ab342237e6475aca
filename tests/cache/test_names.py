from __future__ import annotations

import pytest

from briarseam.cache import names as block_names

NAMES = block_names.Names(b"secret")
DIGEST = b"d" * 16
USUAL = ("kitchen", "draft", "", "v1")


def key(*parts):
    return next(NAMES.keys(*parts, [DIGEST]))


@pytest.mark.parametrize(
    "other",
    [
        ("crew", "draft", "", "v1"),
        ("kitchen", "other", "", "v1"),
        ("kitchen", "draft", "tone", "v1"),
        ("kitchen", "draft", "", "v2"),
        ("kitchend", "raft", "", "v1"),
    ],
    ids=["organisation", "model", "adapter", "version", "split"],
)
def test_the_same_text_has_another_key_elsewhere(other):
    """A hit would be another's text or another version's numbers."""
    assert key(*USUAL) == key(*USUAL)
    assert key(*USUAL) != key(*other)


def test_a_name_is_never_made_twice_and_reads_back():
    """A late write under an old name must not hit a new block."""
    made = [
        NAMES.new_name(NAMES.group("k", "s"), b"v" * 4, 7, DIGEST)
        for _ in range(1000)
    ]
    texts = {NAMES.format(NAMES.pack(name)) for name in made}

    assert len(texts) == 1000
    read = NAMES.parse(NAMES.format(NAMES.pack(made[0])))
    assert read is not None
    assert block_names.unpack(read) == made[0]


@pytest.mark.parametrize("text", ["", "zz-zz", "backup-2024", "ab" * 46])
def test_blocks_of_others_are_not_taken_for_ours(text):
    """A store holds foreign blocks; taken for ours they'd be deleted."""
    assert NAMES.parse(text) is None


def test_a_name_made_with_another_secret_is_not_ours():
    """Somebody writes a block under a name that looks like ours."""
    forger = block_names.Names(b"guess")
    name = forger.new_name(NAMES.group("k", "s"), b"v" * 4, 0, DIGEST)

    assert NAMES.parse(forger.format(forger.pack(name))) is None
