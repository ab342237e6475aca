"""The error of a settings file that can't be used."""

from __future__ import annotations


class SettingsError(Exception):
    """A settings file is unreadable, incomplete or holds a bad value.

    Attributes
    ----------
    path
        The settings file.
    line
        Line in the file, from 1; ``None`` where something is missing.
    section
        Section, without brackets; empty when the file as a whole is meant.
    key
        Key in the section; empty when the section as a whole is meant.
    expected
        What would have been accepted.
    got
        What was found instead; never a secret.
    """

    def __init__(
        self,
        path: str,
        section: str,
        key: str,
        expected: str,
        *,
        got: str = "",
        line: int | None = None,
    ) -> None:
        self.path = path
        self.section = section
        self.key = key
        self.expected = expected
        self.got = got
        self.line = line
        super().__init__(str(self))

    def __str__(self) -> str:
        """Return one line: place, section, key, expectation, finding."""
        location = self.path
        if self.line is not None:
            location = f"{location}:{self.line}"
        parts = [location]
        if self.section:
            parts.append(f"[{self.section}]")
        if self.key:
            parts.append(self.key)
        got = f", got {self.got}" if self.got else ""
        return f"{' '.join(parts)}: expected {self.expected}{got}"
