"""Key material that is hidden in logs and printed settings."""

from __future__ import annotations

import dataclasses

MIN_BYTES = 16
EXPECTED = f"a key of at least {MIN_BYTES} bytes"


@dataclasses.dataclass(frozen=True, repr=False)
class Secret:
    """Key material; its text form hides it.

    Attributes
    ----------
    value
        The key itself.
    """

    value: bytes

    def __repr__(self) -> str:
        """Return a form that shows only the length."""
        return f"<secret of {len(self.value)} bytes>"


def parse(value: bytes) -> Secret:
    """Return a secret, stripped of surrounding white space.

    Raises
    ------
    ValueError
        If it is shorter than ``MIN_BYTES``.
    """
    stripped = value.strip()
    if len(stripped) < MIN_BYTES:
        raise ValueError(EXPECTED)
    return Secret(stripped)
