"""The switches of a stand-in: common ones, their change and validation."""

from __future__ import annotations

import dataclasses
import typing

import msgspec

NotNegative = msgspec.Meta(ge=0)
Count = typing.Annotated[int, NotNegative]
Amount = typing.Annotated[float, NotNegative]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]


@dataclasses.dataclass(frozen=True)
class Switches:
    """Switches that every stand-in has.

    Attributes
    ----------
    outage
        Every call but ``/control`` answers 503.
    delay_ms
        Milliseconds added before each answer, after its effect.
    lose_answers
        So many of the next mutating calls take effect, then their
        connection closes with no answer.
    """

    outage: bool = False
    delay_ms: Amount = 0
    lose_answers: Count = 0


class SwitchError(ValueError):
    """A switch is unknown or its value is not valid."""


SwitchesType = typing.TypeVar("SwitchesType", bound=Switches)


def change(
    switches: SwitchesType,
    changes: dict[str, typing.Any],
    strict: bool = True,
) -> SwitchesType:
    """Merge changes into switches and validate them.

    Parameters
    ----------
    switches
        The present ones.
    changes
        New values by name.
    strict
        Whether a value must have its switch's type; otherwise text is
        converted, as the command line needs it.

    Returns
    -------
    SwitchesType
        The new ones.

    Raises
    ------
    SwitchError
        When a name is unknown or a value is not valid.
    """
    names = {field.name for field in dataclasses.fields(switches)}
    unknown = sorted(changes.keys() - names)
    if unknown:
        raise SwitchError(
            f"unknown switch {unknown[0]!r}, known: {', '.join(sorted(names))}"
        )
    merged = dataclasses.asdict(switches) | changes
    try:
        return msgspec.convert(merged, type(switches), strict=strict)
    except msgspec.ValidationError as error:
        raise SwitchError(str(error)) from error
