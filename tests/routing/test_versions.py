from __future__ import annotations

import dataclasses

from briarseam.orders import state as orders
from briarseam.routing import service
from briarseam.routing import state
from tests.routing import conftest

NEW = orders.Offer("v2", "")
OLD = orders.Offer("v1", "")


def chooser_of(bench, reported):
    """Return a chooser during a rollout; engines report these offers."""
    return service.Chooser(
        dataclasses.replace(
            bench.chooser.parts,
            offers=lambda model, session: (NEW, OLD),
            serves=lambda endpoint, model, offer: (
                reported.get(endpoint) == offer
            ),
        )
    )


def test_request_uses_the_version_that_its_engine_reports(bench):
    chooser = chooser_of(bench, {"engine-1": NEW, "engine-2": OLD})
    choice = chooser.choose_engine(conftest.prompt_query())
    assert (choice.endpoint, choice.version) == ("engine-1", "v2")


def test_request_uses_the_next_version_when_one_has_no_engine(bench):
    """The only engine with new weights is excluded for this request."""
    chooser = chooser_of(bench, {"engine-1": NEW, "engine-2": OLD})
    excluded = frozenset({"engine-1"})
    choice = chooser.choose_engine(conftest.prompt_query(excluded=excluded))
    assert (choice.endpoint, choice.version) == ("engine-2", "v1")


def test_continuation_of_a_version_without_engines_is_refused(bench):
    """The first part of the answer comes from old weights, which no engine
    has any more.
    """
    chooser = chooser_of(bench, {"engine-1": NEW})
    choice = chooser.choose_engine(conftest.prompt_query(version="v1"))
    assert isinstance(choice, state.NoChoice)


def test_continuation_keeps_its_adapter(bench):
    """A model's adapter changes in the middle of an answer; tokens of
    another adapter would not continue it.
    """
    begun = orders.Offer("v1", "kitchen")
    reported = {"engine-1": orders.Offer("v1", "office"), "engine-2": begun}
    chooser = chooser_of(bench, reported)
    prompt_query = conftest.prompt_query(version="v1", adapter="kitchen")
    choice = chooser.choose_engine(prompt_query)
    assert (choice.endpoint, choice.adapter) == ("engine-2", "kitchen")


def test_engines_that_refused_during_their_update_are_tried_again(bench):
    """Two engines refuse a prompt while they are changing their weights, then
    they are the only ones to serve a version on offer.  If they stayed
    excluded, the prompt would get "no endpoint".
    """
    chooser = chooser_of(bench, {"engine-0": NEW, "engine-1": NEW})
    both = frozenset({"engine-0", "engine-1"})
    choice = chooser.choose_engine(
        conftest.prompt_query(excluded=both, refused=both)
    )
    assert choice.version == "v2"


def test_lost_engine_stays_excluded_beside_one_that_refused(bench):
    chooser = chooser_of(bench, {"engine-0": NEW, "engine-1": NEW})
    both = frozenset({"engine-0", "engine-1"})
    prompt_query = conftest.prompt_query(
        excluded=both, refused=frozenset({"engine-1"})
    )
    assert chooser.choose_engine(prompt_query).endpoint == "engine-1"


def test_engine_that_refused_is_the_last_choice(bench):
    chooser = chooser_of(bench, {"engine-0": NEW, "engine-1": OLD})
    refused = frozenset({"engine-0"})
    prompt_query = conftest.prompt_query(excluded=refused, refused=refused)
    assert chooser.choose_engine(prompt_query).endpoint == "engine-1"
