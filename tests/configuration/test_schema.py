from __future__ import annotations

from briarseam.configuration import fold as folds
from briarseam.configuration import views


def entries(tree):
    fold = folds.Fold()
    for path, value in tree.items():
        fold.put(path, 1, value)
    return fold.entries


def test_token_shared_by_two_organisations_identifies_neither():
    # Changes of two teams, each valid alone, give two organisations the same
    # bearer token.  Its callers must have access to the answers of neither.
    same, own = "0" * 32, "1" * 32
    tree = {
        "organisations/a": {"token_digest": same},
        "organisations/b": {"token_digest": same},
        "organisations/c": {"token_digest": own},
    }
    builder = views.ViewBuilder()
    view = builder.update(3, entries(tree), tree)
    assert not builder.errors
    assert view.organisation_of(same) is None
    assert view.organisation_of(own) == "c"


def test_invalid_value_is_omitted_and_reported():
    # A newer release publishes a field and a path unknown to this one.
    builder = views.ViewBuilder()
    tree = {
        "models/a": {"version": "1", "newer": 1},
        "models/b": {"version": 2},
        "newer/c": {},
    }
    first = builder.update(1, entries(tree), tree)
    assert first.models.keys() == {"a"}
    assert builder.errors.keys() == {"models/b", "newer/c"}
    tree |= {"models/b": {"version": "2"}, "platform/weights": {}}
    view = builder.update(2, entries(tree), ["models/b"])
    assert view.models["a"] is first.models["a"]
    assert view.models.keys() == {"a", "b"}
    assert builder.errors.keys() == {"newer/c"}


def test_returned_view_is_not_modified():
    # A request holds a view while a change deletes values in it.
    builder = views.ViewBuilder()
    weights = {"address": "127.0.0.1:1"}
    tree = {"models/a": {"version": "1"}, "platform/weights": weights}
    first = builder.update(1, entries(tree), tree)
    second = builder.update(2, {}, tree)
    assert first.models.keys() == {"a"}
    assert first.weights is not None
    assert (second.models, second.weights) == ({}, None)


def test_state_of_a_zone_is_checked():
    builder = views.ViewBuilder()
    tree = {
        "zones/a": {"state": "evacuated"},
        "zones/b": {"state": "evacuate"},
    }
    view = builder.update(1, entries(tree), tree)
    assert view.zones.keys() == {"a"}
    assert builder.errors.keys() == {"zones/b"}
