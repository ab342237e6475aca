"""Choosing the engines and the model versions for new requests."""

from __future__ import annotations

import collections
import typing

from briarseam.configuration import values
from briarseam.orders import goals
from briarseam.orders import planner
from briarseam.orders import state


def serving_versions(
    reports: planner.Reports,
) -> dict[str, dict[str, str]]:
    """Return the reported versions, by engine and model."""
    return {
        name: {
            model: loaded.version
            for model, loaded in report.state.models.items()
            if loaded.version is not None
        }
        for name, report in reports.items()
    }


def offers_of(
    model: str,
    desired: values.Model,
    targets: typing.Sequence[goals.Target],
    reports: planner.Reports,
    former_adapter: str | None,
) -> dict[str, state.Offer]:
    """Return what each engine offers for new requests of a model.

    Until as many engines as the floor report the desired version, the
    others continue to serve theirs, because sending all requests to the
    first updated engine would overload it.  The same holds for the adapter.

    Parameters
    ----------
    model, desired
        The model and its configuration.
    targets
        Engines that should serve it.
    reports
        Last report, by engine.
    former_adapter
        Adapter in the configuration before the current one; ``None`` when
        it is not known.
    """
    enough = max(1, desired.floor)
    versions = state.Offer(desired.version, desired.adapter)
    up_to_date: dict[str, state.Offer] = {}
    behind: dict[str, state.Offer] = {}
    for target in targets:
        report = reports.get(target.name)
        loaded = report.state.models.get(model) if report else None
        if loaded is None or loaded.version is None:
            continue
        adapter = usable_adapter(
            desired.adapter, former_adapter, loaded.adapters
        )
        if adapter is None:
            continue
        offer = state.Offer(loaded.version, adapter)
        chosen = up_to_date if offer == versions else behind
        chosen[target.name] = offer
    if len(up_to_date) >= enough or not behind:
        return up_to_date
    return up_to_date | behind


def usable_adapter(
    desired: str, former: str | None, loaded: tuple[str, ...]
) -> str | None:
    """Return the adapter that a request names; ``None`` if none fits."""
    if not desired or desired in loaded:
        return desired
    if former is not None and (not former or former in loaded):
        return former
    return None


def count_offers(offered: state.Offers) -> dict[state.Offer, int]:
    """Return how many engines make each offer."""
    return dict(collections.Counter(offered.values()))
