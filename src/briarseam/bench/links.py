"""What goes over the stores' links, read from the stand-ins."""

from __future__ import annotations

import dataclasses
import typing

import urllib3

from briarseam.configuration import schema
from briarseam.configuration import values

if typing.TYPE_CHECKING:
    from briarseam.bench import arms

TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True)
class Store:
    """A store and the budget of its link, in bytes a second."""

    name: str
    address: str
    budget_bytes_per_s: float


@dataclasses.dataclass(frozen=True)
class Link:
    """What went over one store's link during an arm.

    Attributes
    ----------
    store
        Its name.
    bytes_per_s
        On average.
    budget_bytes_per_s
        As configured; 0 for none.
    """

    store: str
    bytes_per_s: float
    budget_bytes_per_s: float


def stores(operator: arms.Operator) -> tuple[Store, ...]:
    """Return the stores of the configuration in force."""
    fold = operator.load()
    view, _ = schema.build_view(fold.offset, fold.values())
    return tuple(
        Store(name, endpoint.address, endpoint.link_bytes_per_s)
        for name, endpoint in sorted(view.endpoints.items())
        if endpoint.kind is values.EndpointKind.STORE
    )


def read(asked: tuple[Store, ...]) -> dict[str, int]:
    """Return the bytes that each store's link has moved so far."""
    moved = {}
    for store in asked:
        response = urllib3.request(
            "GET",
            f"http://{store.address}/control/traffic",
            timeout=TIMEOUT_S,
            retries=False,
        )
        moved[store.name] = int(response.json()["moved"])
    return moved


def usages(
    asked: tuple[Store, ...], before: dict[str, int], elapsed_s: float
) -> tuple[Link, ...]:
    """Return what went over each link since ``before``."""
    after = read(asked)
    return tuple(
        Link(
            store.name,
            round((after[store.name] - before[store.name]) / elapsed_s),
            store.budget_bytes_per_s,
        )
        for store in asked
    )
