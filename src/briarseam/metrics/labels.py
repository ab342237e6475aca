"""Families of instruments that share a name and differ in label values."""

from __future__ import annotations

import threading
import typing

from briarseam.metrics import instruments

if typing.TYPE_CHECKING:
    import collections.abc

OTHER = "other"

InstrumentT = typing.TypeVar("InstrumentT", bound=instruments.Instrument)


class Family(typing.Generic[InstrumentT]):
    """A bounded number of instruments, by their label values.

    Attributes
    ----------
    label_names
        Names of the labels, in the order of their values.
    max_values
        Maximum number of distinct values of each label.
    children
        Instruments by label values.
    """

    def __init__(
        self,
        make: collections.abc.Callable[[], InstrumentT],
        label_names: tuple[str, ...],
        max_values: int,
    ) -> None:
        self.make = make
        self.label_names = label_names
        self.max_values = max_values
        self.children: dict[tuple[str, ...], InstrumentT] = {}
        self.seen: tuple[set[str], ...] = tuple(set() for _ in label_names)
        self.lock = threading.Lock()

    def labelled(self, *values: str) -> InstrumentT:
        """Return the instrument for label values, created at first use.

        Raises
        ------
        ValueError
            If the number of values differs from the number of labels.
        """
        if len(values) != len(self.label_names):
            raise ValueError(
                f"one value is required for each label:"
                f" {', '.join(self.label_names)}"
            )
        instrument = self.children.get(values)
        if instrument is not None:
            return instrument
        with self.lock:
            return self.get_or_create(values)

    def get_or_create(self, values: tuple[str, ...]) -> InstrumentT:
        """Return the instrument for label values, within the limit of values.

        Label values that callers choose (an organisation, a model) would
        otherwise grow the process's memory and each scrape without bound.
        Beyond the limit, a new value is replaced by ``other``.
        """
        bounded = tuple(
            self.bounded_value(seen, value)
            for seen, value in zip(self.seen, values, strict=True)
        )
        if bounded not in self.children:
            self.children[bounded] = self.make()
        return self.children[bounded]

    def bounded_value(self, seen: set[str], value: str) -> str:
        """Return a label value, or ``other`` beyond the limit of values."""
        if value in seen:
            return value
        if len(seen) >= self.max_values:
            return OTHER
        seen.add(value)
        return value

    def items(self) -> list[tuple[tuple[str, ...], InstrumentT]]:
        """Return all instruments with their label values, sorted by these."""
        with self.lock:
            return sorted(self.children.items(), key=lambda item: item[0])
