"""Error raised for an invalid settings file."""

from __future__ import annotations


class SettingsError(Exception):
    """A settings file is unreadable, incomplete or has an invalid value.

    Attributes
    ----------
    path
        The settings file.
    line
        Line in the file, from 1; ``None`` if the error has no line.
    section
        Section, without brackets; empty if the error concerns the whole file.
    key
        Key in the section; empty if the error concerns the whole section.
    expected
        Description of what is accepted.
    got
        Value or fault found instead; never contains a secret.
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
        """Return one line: location, section, key, expected, got."""
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
