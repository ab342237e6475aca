from __future__ import annotations

from briarseam.configuration import schema
from briarseam.configuration import views


def test_a_token_of_two_organisations_names_neither():
    # Two teams' changes, each valid alone, give two organisations the same
    # bearer token.  Its callers must reach neither's answers.
    same, own = "0" * 32, "1" * 32
    view, errors = schema.build_view(
        3,
        {
            "organisations/a": {"token_digest": same},
            "organisations/b": {"token_digest": same},
            "organisations/c": {"token_digest": own},
        },
    )
    assert not errors
    assert view.organisation_of(same) is None
    assert view.organisation_of(own) == "c"


def test_a_value_that_does_not_fit_is_left_out_and_told():
    # A newer release publishes a field and a path that this one lacks.
    builder = views.ViewBuilder()
    tree = {
        "models/a": {"version": "1", "newer": 1},
        "models/b": {"version": 2},
        "newer/c": {},
    }
    view, errors = builder.build(1, tree)
    assert view.models.keys() == {"a"}
    assert {error.path for error in errors} == {"models/b", "newer/c"}
    parsed = view.models["a"]
    tree["models/b"] = {"version": "2"}
    view, errors = builder.build(2, tree)
    assert view.models["a"] is parsed
    assert view.models.keys() == {"a", "b"}
