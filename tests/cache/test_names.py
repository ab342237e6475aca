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
def test_key_differs_by_organisation_model_adapter_and_version(other):
    """A hit would use the KV of another organisation or version."""
    assert key(*USUAL) == key(*USUAL)
    assert key(*USUAL) != key(*other)


def test_each_organisation_has_a_salt_of_its_own():
    """Guards against prefixes at an engine that two organisations share."""
    assert NAMES.salt("kitchen") == NAMES.salt("kitchen")
    salts = {NAMES.salt(name) for name in ("kitchen", "crew", "")}
    assert len(salts) == 3


def test_names_are_unique_and_can_be_parsed():
    """A late write under an old name must not overwrite a new block."""
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
def test_names_of_other_systems_are_not_parsed(text):
    """If the name were parsed, the foreign block would be deleted."""
    assert NAMES.parse(text) is None


def test_name_created_with_another_secret_is_not_parsed():
    """A foreign writer uses names of the same format."""
    forger = block_names.Names(b"guess")
    name = forger.new_name(NAMES.group("k", "s"), b"v" * 4, 0, DIGEST)

    assert NAMES.parse(forger.format(forger.pack(name))) is None
