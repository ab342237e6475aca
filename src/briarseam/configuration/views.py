"""Typed views without parsing again what did not change."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.configuration import schema

SLACK = 2


@dataclasses.dataclass(frozen=True)
class Parsed:
    """The outcome of parsing one raw value."""

    raw: typing.Any
    outcome: schema.Value | schema.SchemaError


class ViewBuilder:
    """Builds views; keeps the parsed values between them."""

    def __init__(self) -> None:
        self.parsed: dict[str, Parsed] = {}

    def build(
        self, offset: int, tree: typing.Mapping[str, typing.Any]
    ) -> tuple[schema.View, tuple[schema.SchemaError, ...]]:
        """Return the view and errors, as :func:`schema.build_view`."""
        if len(self.parsed) > SLACK * len(tree):
            self.parsed.clear()
        return schema.build_view(offset, tree, self.parse)

    def parse(self, path: str, raw: typing.Any) -> schema.Value:
        """Return the value of a path, parsed once for each raw object.

        Raises
        ------
        SchemaError
            When it does not fit.
        """
        found = self.parsed.get(path)
        # By identity: a fold puts a new object in with each change, and the
        # reference kept here keeps the old one's place from being reused.
        if found is None or found.raw is not raw:
            found = Parsed(raw, parse_outcome(path, raw))
            self.parsed[path] = found
        if isinstance(found.outcome, schema.SchemaError):
            raise found.outcome
        return found.outcome


def parse_outcome(
    path: str, raw: typing.Any
) -> schema.Value | schema.SchemaError:
    """Return the parsed value or why there is none."""
    try:
        return schema.parse_lenient(path, raw)
    except schema.SchemaError as error:
        return error
