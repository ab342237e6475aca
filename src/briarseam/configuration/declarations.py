"""Reads declarations from INI files: a section per path, a key per field."""

from __future__ import annotations

import dataclasses
import pathlib
import typing

import msgspec

from briarseam.configuration import schema
from briarseam.settings import errors
from briarseam.settings import ini

SUFFIX = ".ini"
ORGANISATIONS = "organisations/"


class DeclarationError(Exception):
    """A declaration that cannot be published.

    Attributes
    ----------
    place
        ``file:line`` of the error, or the command-line option.
    path
        Path in the tree; empty when the error concerns the file.
    expected
        The expected and the actual content.
    """

    def __init__(self, place: str, path: str, expected: str) -> None:
        prefix = f"{path}: " if path else ""
        super().__init__(f"{place}: {prefix}{expected}")
        self.place = place
        self.path = path
        self.expected = expected


@dataclasses.dataclass(frozen=True)
class Declaration:
    """A declared path and its value.

    Attributes
    ----------
    path
        Path in the tree.
    value
        The declared fields, converted to their types.
    place
        ``file:line`` of the section.
    """

    path: str
    value: typing.Mapping[str, typing.Any]
    place: str


def read_directory(directory: str) -> tuple[Declaration, ...]:
    """Return the declarations of all INI files below a directory.

    Raises
    ------
    DeclarationError
        For the first invalid declaration.
    """
    root = pathlib.Path(directory)
    files = sorted(root.rglob(f"*{SUFFIX}"))
    if not files:
        raise DeclarationError(directory, "", f"no {SUFFIX} file found")
    by_path: dict[str, Declaration] = {}
    for file in files:
        for declared in read_file(str(file)):
            previous = by_path.setdefault(declared.path, declared)
            if previous is not declared:
                raise DeclarationError(
                    declared.place,
                    declared.path,
                    f"already declared at {previous.place}",
                )
    return tuple(by_path.values())


def read_file(file: str) -> list[Declaration]:
    """Return the declarations of one file."""
    try:
        sections = ini.read(file)
    except errors.SettingsError as error:
        raise DeclarationError(file, "", str(error)) from error
    return [read_section(file, section) for section in sections.values()]


def read_section(file: str, section: ini.Section) -> Declaration:
    """Return the declaration of one section."""
    place = f"{file}:{section.line}"
    try:
        kind = schema.value_type(section.name)
    except schema.SchemaError as error:
        raise DeclarationError(place, section.name, error.expected) from error
    value = {
        key: field_value(kind, section.name, f"{file}:{entry.line}", key, text)
        for key, entry in section.entries.items()
        for text in [entry.text]
    }
    return Declaration(
        section.name, validated(place, section.name, value), place
    )


def field_value(
    kind: type, path: str, place: str, key: str, text: str
) -> typing.Any:
    """Return one field's value, parsed from its text.

    Raises
    ------
    DeclarationError
        When the field is unknown or the text is invalid.
    """
    hints = typing.get_type_hints(kind, include_extras=True)
    if key not in hints:
        fields = ", ".join(hints)
        raise DeclarationError(
            place, path, f"unknown field {key}; has {fields}"
        )
    raw: typing.Any = text
    if typing.get_origin(hints[key]) is tuple:
        raw = [part.strip() for part in text.split(",") if part.strip()]
    try:
        typed = msgspec.convert(raw, hints[key], strict=False)
    except msgspec.ValidationError as error:
        raise DeclarationError(
            place, path, f"{key} = {text}: {error}"
        ) from error
    # Converted through JSON so that sequences are lists, as in values that
    # are read back from the log.
    return msgspec.json.decode(msgspec.json.encode(typed))


def validated(
    place: str, path: str, value: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    """Return a complete value after validating it against the schema."""
    try:
        schema.parse_value(path, value)
    except schema.SchemaError as error:
        raise DeclarationError(place, path, error.expected) from error
    return value


def check_tokens(
    tree: typing.Mapping[str, typing.Any], places: typing.Mapping[str, str]
) -> None:
    """Check that no declared organisation shares another's bearer token.

    With a shared token, requests of one organisation could not be
    distinguished from those of the other.

    Parameters
    ----------
    tree
        Values by path after the change.
    places
        ``file:line`` of each declared path.

    Raises
    ------
    DeclarationError
        When a token is shared.
    """
    owners: dict[str, str] = {}
    for path in sorted(tree, key=lambda path: path in places):
        if not path.startswith(ORGANISATIONS):
            continue
        digest = tree[path].get("token_digest")
        other = owners.setdefault(digest, path)
        if other != path and path in places:
            raise DeclarationError(
                places[path], path, f"same token_digest as {other}"
            )


def merge_fields(
    path: str, present: typing.Any, assignments: typing.Sequence[str]
) -> dict[str, typing.Any]:
    """Return a path's value after ``FIELD=VALUE`` assignments.

    Parameters
    ----------
    path
        Path in the tree.
    present
        The current value; ``None`` when it is absent.
    assignments
        Values in the format of the INI files; an empty value resets the
        field to its default.

    Raises
    ------
    DeclarationError
        When the result is not valid for the path.
    """
    try:
        kind = schema.value_type(path)
    except schema.SchemaError as error:
        raise DeclarationError(path, "", error.expected) from error
    value = dict(present or {})
    for assignment in assignments:
        key, equals, text = assignment.partition("=")
        if not equals:
            raise DeclarationError(
                path, "", f"expected FIELD=VALUE, got {assignment}"
            )
        if text:
            value[key] = field_value(kind, path, "set", key, text)
        else:
            value.pop(key, None)
    return validated("set", path, value)
