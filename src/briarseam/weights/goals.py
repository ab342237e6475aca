"""Which weights are wanted."""

from __future__ import annotations

import dataclasses

from briarseam import clocks


@dataclasses.dataclass(frozen=True)
class WeightGoal:
    """The newest weights that operators named for a model.

    Attributes
    ----------
    model
        Name of the model.
    version
        Higher for newer weights.
    seen_s
        When it was first seen here, by the boot clock.
    """

    model: str
    version: int
    seen_s: float = dataclasses.field(
        default_factory=clocks.boot_clock, compare=False
    )
