"""INI file parser that records the line of each section and key."""

from __future__ import annotations

import configparser
import dataclasses
import pathlib

from briarseam.settings import errors

# configparser copies the values of its default section, DEFAULT, into all
# others. No heading can contain a newline, so no section is the default.
NO_DEFAULT_SECTION = "\n"


@dataclasses.dataclass(frozen=True)
class Entry:
    """One value as written in the file.

    Attributes
    ----------
    text
        The value, without surrounding white space.
    line
        Line of the key, from 1.
    """

    text: str
    line: int


@dataclasses.dataclass(frozen=True)
class Section:
    """One section as written in the file.

    Attributes
    ----------
    name
        Heading, without brackets.
    line
        Line of the heading, from 1.
    entries
        Values by key.
    """

    name: str
    line: int
    entries: dict[str, Entry]


@dataclasses.dataclass(frozen=True)
class LineNumbers:
    """Line numbers of the sections and keys of a file.

    Attributes
    ----------
    headings
        Line by section.
    keys
        Line by section and key.
    """

    headings: dict[str, int]
    keys: dict[tuple[str, str], int]


def read(path: str) -> dict[str, Section]:
    """Return the sections of a file by name.

    Raises
    ------
    SettingsError
        If the file can't be read or is not an INI file.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        reason = error.strerror or str(error)
        raise errors.SettingsError(
            path, "", "", "a readable file", got=reason
        ) from error
    except UnicodeDecodeError as error:
        raise errors.SettingsError(path, "", "", "UTF-8 text") from error
    parser = create_parser()
    try:
        parser.read_string(text, path)
    except configparser.Error as error:
        raise to_settings_error(path, error) from error
    return with_line_numbers(parser, text)


def create_parser() -> configparser.RawConfigParser:
    """Return a parser without interpolation and without a default section."""
    parser = configparser.RawConfigParser(
        delimiters=("=",),
        default_section=NO_DEFAULT_SECTION,
        empty_lines_in_values=False,
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    return parser


def to_settings_error(
    path: str, error: configparser.Error
) -> errors.SettingsError:
    """Convert an error of configparser to a settings error."""
    match error:
        case configparser.DuplicateSectionError():
            return errors.SettingsError(
                path,
                error.section,
                "",
                "the section only once",
                line=error.lineno,
            )
        case configparser.DuplicateOptionError():
            return errors.SettingsError(
                path,
                error.section,
                error.option,
                "the key only once",
                line=error.lineno,
            )
        case configparser.MissingSectionHeaderError():
            return errors.SettingsError(
                path, "", "", "a [section] first", line=error.lineno
            )
        case configparser.ParsingError():
            line = error.errors[0][0] if error.errors else None
            return errors.SettingsError(
                path, "", "", "[section] or key = value", line=line
            )
        case _:
            return errors.SettingsError(
                path, "", "", "an INI file", got=error.message
            )


def with_line_numbers(
    parser: configparser.RawConfigParser, text: str
) -> dict[str, Section]:
    """Return the parsed sections with the lines of headings and keys."""
    lines = LineNumbers({}, {})
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        heading = parser.SECTCRE.match(line.strip())
        if heading and parser.has_section(heading["header"]):
            section = heading["header"]
            lines.headings.setdefault(section, number)
            continue
        key = line.partition("=")[0].strip()
        lines.keys.setdefault((section, key), number)
    return {
        name: build_section(parser, name, lines) for name in parser.sections()
    }


def build_section(
    parser: configparser.RawConfigParser, name: str, lines: LineNumbers
) -> Section:
    """Return one section with the lines of its keys."""
    entries = {
        key: Entry(value, lines.keys[name, key])
        for key, value in parser.items(name)
    }
    return Section(name, lines.headings[name], entries)
