"""Which weights are wanted."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class WeightGoal:
    """The newest weights that operators named for a model.

    Attributes
    ----------
    model
        Name of the model.
    version
        Higher for newer weights.
    """

    model: str
    version: int
