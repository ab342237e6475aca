"""Builds typed views of a tree, parsing only changed values."""

from __future__ import annotations

import typing

from briarseam.configuration import schema

if typing.TYPE_CHECKING:
    from briarseam.configuration import fold as folds


class ViewBuilder:
    """Builds the view after each change from the changed paths.

    A returned view is never modified: a kind with changed paths gets a new
    mapping, the others are shared with the previous view.

    Attributes
    ----------
    view
        The last view.
    errors
        Errors of invalid values, by path; the view omits these values.
    """

    def __init__(self) -> None:
        self.view = schema.View()
        self.errors: dict[str, schema.SchemaError] = {}
        self.values: dict[str, dict[str, schema.Value]] = {
            kind: {} for kind in schema.COLLECTIONS
        }
        self.singles: dict[str, schema.Value] = {}

    def update(
        self,
        offset: int,
        entries: typing.Mapping[str, folds.Entry],
        changed_paths: typing.Iterable[str],
    ) -> schema.View:
        """Return the view at ``offset``.

        Parameters
        ----------
        offset
            Offset of the last record applied.
        entries
            The tree.
        changed_paths
            Paths that may differ from the last view.
        """
        paths = list(changed_paths)
        for kind in {path.partition("/")[0] for path in paths}:
            if kind in self.values:
                self.values[kind] = dict(self.values[kind])
        for path in paths:
            self.update_path(path, entries.get(path))
        self.view = schema.make_view(offset, self.values, self.singles)
        return self.view

    def update_path(self, path: str, entry: folds.Entry | None) -> None:
        """Apply one path's current entry."""
        kind, _, name = path.partition("/")
        self.errors.pop(path, None)
        self.singles.pop(path, None)
        self.values.get(kind, {}).pop(name, None)
        if entry is None:
            return
        try:
            value = schema.parse_value(path, entry.value, strict=False)
        except schema.SchemaError as error:
            self.errors[path] = error
            return
        if path in schema.SINGLES:
            self.singles[path] = value
        else:
            self.values[kind][name] = value
