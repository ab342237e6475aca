from __future__ import annotations

from briarseam.cache import pieces


def test_an_agent_names_an_engines_prefixes_from_the_plain_chain() -> None:
    """An entry cuts a prompt before the agent has told it the salt.

    The agent then orders exports by the engine's salted names.  Were these
    not to be had from the plain chain, every export would answer 404 and
    nothing would ever be kept.
    """
    prompt = " ".join(f"word{i}" for i in range(3500))
    plain = pieces.chain(prompt)

    salted = pieces.chain(prompt, "salt")

    assert len(plain) == 3
    assert salted == [pieces.salted(digest, "salt") for digest in plain]
    assert not set(salted) & set(plain)
    assert not set(salted) & set(pieces.chain(prompt, "other"))
