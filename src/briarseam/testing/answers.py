"""The answers that stand-in engines give, so that callers can check them."""

from __future__ import annotations

import hashlib

TOKEN_DIGITS = 8


class AnswerTokens:
    """The tokens of the answer to one prompt.

    Parameters
    ----------
    model
        The model's name.
    version
        The weight version.
    prompt
        The whole prompt.
    """

    def __init__(self, model: str, version: str, prompt: str) -> None:
        named = f"{model}\0{version}\0{prompt}\0"
        self.hasher = hashlib.blake2b(named.encode())

    def token(self, offset: int) -> str:
        """Return one token.

        Parameters
        ----------
        offset
            Its place in the answer, from 0.

        Returns
        -------
        str
            The token.
        """
        hasher = self.hasher.copy()
        hasher.update(str(offset).encode())
        return "w" + hasher.hexdigest()[:TOKEN_DIGITS]


def expected_answer(
    model: str, version: str, prompt: str, n: int
) -> list[str]:
    """Return the whole answer to a prompt.

    Parameters
    ----------
    model
        The model's name.
    version
        The weight version.
    prompt
        The whole prompt.
    n
        Its length in tokens.

    Returns
    -------
    list[str]
        The tokens, in order.
    """
    tokens = AnswerTokens(model, version, prompt)
    return [tokens.token(offset) for offset in range(n)]
