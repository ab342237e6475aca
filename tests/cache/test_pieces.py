from __future__ import annotations

from briarseam.cache import pieces


def test_salted_digests_are_derived_from_unsalted_chain() -> None:
    """An entry splits a prompt before it knows the salt.

    The agent then requests exports by the engine's salted digests.  If
    these could not be derived from the unsalted chain, every export would
    fail with 404, and nothing would be kept.
    """
    prompt = " ".join(f"word{i}" for i in range(3500))
    plain = pieces.chain(prompt)

    salted = pieces.chain(prompt, "salt")

    assert len(plain) == 3
    assert salted == [pieces.salted(digest, "salt") for digest in plain]
    assert not set(salted) & set(plain)
    assert not set(salted) & set(pieces.chain(prompt, "other"))
