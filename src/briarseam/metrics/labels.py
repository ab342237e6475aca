"""Families of instruments that share a name and differ by label values."""

from __future__ import annotations

import threading
import typing

from briarseam.metrics import instruments

if typing.TYPE_CHECKING:
    import collections.abc

OTHER = "other"

Made = typing.TypeVar("Made", bound=instruments.Instrument)


class Family(typing.Generic[Made]):
    """Instruments by the values of their labels, bounded in number.

    Attributes
    ----------
    label_names
        Names of the labels, in order.
    max_values
        Distinct values kept of each label.
    children
        Instruments by label values.
    """

    def __init__(
        self,
        make: collections.abc.Callable[[], Made],
        label_names: tuple[str, ...],
        max_values: int,
    ) -> None:
        self.make = make
        self.label_names = label_names
        self.max_values = max_values
        self.children: dict[tuple[str, ...], Made] = {}
        self.seen: tuple[set[str], ...] = tuple(set() for _ in label_names)
        self.lock = threading.Lock()

    def labelled(self, *values: str) -> Made:
        """Return the instrument for label values, made at first use.

        Raises
        ------
        ValueError
            If there are not as many values as labels.
        """
        if len(values) != len(self.label_names):
            raise ValueError(f"labels are {', '.join(self.label_names)}")
        found = self.children.get(values)
        if found is not None:
            return found
        with self.lock:
            return self.bounded(values)

    def bounded(self, values: tuple[str, ...]) -> Made:
        """Return the instrument for values, new ones past the bound merged.

        Values that callers choose (an organisation, a model) would otherwise
        grow the memory of the process and every scrape without limit; past
        the bound a new value counts as ``other``.
        """
        kept = tuple(
            self.kept(seen, value)
            for seen, value in zip(self.seen, values, strict=True)
        )
        if kept not in self.children:
            self.children[kept] = self.make()
        return self.children[kept]

    def kept(self, seen: set[str], value: str) -> str:
        """Return a label value, or ``other`` when there are too many."""
        if value in seen:
            return value
        if len(seen) >= self.max_values:
            return OTHER
        seen.add(value)
        return value

    def items(self) -> list[tuple[tuple[str, ...], Made]]:
        """Return all instruments with their label values, sorted."""
        with self.lock:
            return sorted(self.children.items(), key=lambda item: item[0])
