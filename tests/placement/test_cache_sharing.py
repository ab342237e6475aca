from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec
import pytest

from briarseam.placement import cache_sharing
from briarseam.placement import salts
from briarseam.routes import model

NAMES = ("chain", "inspectors", "kitchens")
INSTANCES = 3


def configuration(version, isolated=()):
    limits = model.CallerLimits()
    return model.Configuration(
        version, (), {}, {}, limits, frozenset(isolated)
    )


def sharing_of(*configurations):
    sharing = cache_sharing.CacheSharing()
    for number, isolated in enumerate(configurations, start=1):
        sharing.apply(configuration(number, isolated))
    return sharing


def scopes(sharing):
    return {name: sharing.scope_of(name) for name in NAMES}


def test_isolated_organisation_has_parts_of_its_own():
    sharing = sharing_of(["chain"])
    assert sharing.scope_of("chain") == salts.Own("chain")
    assert sharing.scope_of("kitchens") == sharing.scope_of(None)


def test_configuration_without_isolation_has_the_usual_salt():
    assert str(salts.Salt("m", 1, sharing_of([]).scope_of("chain"))) == "m/1/"


def test_instances_agree_in_whichever_order_names_come():
    one = sharing_of(["chain", "inspectors"])
    other = sharing_of(["inspectors"], ["inspectors", "chain"])
    assert scopes(one) == scopes(other)


@pytest.mark.parametrize("after", [[], ["chain"], ["inspectors"]])
def test_change_that_isolates_nobody_new_keeps_all_names(after):
    sharing = sharing_of(["chain", "inspectors"])
    before = scopes(sharing)
    sharing.apply(configuration(9, after))
    assert scopes(sharing) == before


def test_isolation_of_another_renames_what_the_rest_share():
    sharing = sharing_of(["chain"])
    before = scopes(sharing)
    sharing.apply(configuration(9, ["inspectors"]))
    after = scopes(sharing)
    assert after["chain"] == before["chain"]
    assert after["kitchens"] != before["kitchens"]


def test_names_that_join_to_the_same_text_are_different_groups():
    """Guards against digests of names without their lengths."""
    assert cache_sharing.group_without(["ab", "c"]) != (
        cache_sharing.group_without(["a", "bc"])
    )


def test_peers_tell_who_was_isolated():
    former = sharing_of(["chain"], [])
    late = sharing_of([])
    late.consume("peer", former.provide())
    assert scopes(late) == scopes(former)


def test_peer_that_is_behind_changes_nothing():
    sharing = sharing_of(["chain"])
    before = scopes(sharing)
    sharing.consume("peer", sharing_of([]).provide())
    assert scopes(sharing) == before


def test_peer_that_is_ahead_is_believed_before_the_configuration_comes():
    """Guards against an instance that is cut off from the store."""
    behind = sharing_of([])
    behind.consume("peer", sharing_of([], ["chain"]).provide())
    assert behind.scope_of("chain") == salts.Own("chain")


@pytest.mark.parametrize(
    "content", [b"", b"\xc1", msgspec.msgpack.encode([1])]
)
def test_malformed_content_of_a_peer_changes_nothing(content):
    sharing = sharing_of(["chain"])
    before = scopes(sharing)
    with pytest.raises(msgspec.MsgspecError):
        sharing.consume("peer", content)
    assert scopes(sharing) == before


def test_nothing_is_shared_while_the_configuration_may_be_outdated():
    """Guards against a process that goes on with what it knew before."""
    outdated = []
    sharing = cache_sharing.CacheSharing(lambda: bool(outdated))
    sharing.apply(configuration(1))
    before = scopes(sharing)
    outdated.append(True)
    assert scopes(sharing) == {name: salts.Own(name) for name in NAMES}
    assert sharing.scope_of(None) == salts.Own(None)
    outdated.clear()
    assert scopes(sharing) == before


def test_former_organisations_are_bounded():
    """Guards against heartbeats that grow without bound."""
    names = [f"o{number}" for number in range(cache_sharing.MAX_FORMER + 1)]
    sharing = sharing_of(names, [])
    assert sharing.division.former == frozenset()
    sharing.consume("peer", msgspec.msgpack.encode(names))
    assert sharing.division.former == frozenset()


def test_published_names_are_bounded():
    limit = cache_sharing.MAX_PUBLISHED
    names = [f"o{number}" for number in range(limit)]
    sharing = sharing_of(["chain"], names)
    published = msgspec.msgpack.decode(sharing.provide())
    assert len(published) == limit
    assert "chain" in published


def test_only_groups_that_keep_out_fewer_are_superseded():
    """Guards against freeing what an instance that knows more still uses."""
    isolated = frozenset(["chain"])
    scope = sharing_of(["chain"]).scope_of("kitchens")
    assert cache_sharing.is_superseded(salts.EVERYBODY, isolated)
    assert not cache_sharing.is_superseded(scope, isolated)
    assert not cache_sharing.is_superseded(salts.Own("kitchens"), isolated)
    assert not cache_sharing.is_superseded(scope, frozenset())


def test_formerly_isolated_organisations_supersede_no_group():
    """Guards against freeing what an instance that has started still uses.

    It doesn't know who was isolated before.
    """
    division = sharing_of(["chain"], []).division
    assert division.former == {"chain"}
    assert not cache_sharing.is_superseded(salts.EVERYBODY, division.isolated)


def test_older_configuration_that_the_store_names_keeps_separate():
    """Guards against a group that others, who start by it, take for replaced.

    The store was restored from a backup.
    """
    sharing = sharing_of([])
    sharing.apply_named(configuration(0, ["chain"]))
    assert sharing.division.former == {"chain"}
    assert sharing.scope_of("kitchens").excluded == 1
    assert sharing.scope_of("chain") == salts.Own("chain")


@hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
class AnySeries(stateful.RuleBasedStateMachine):
    """Changes, late instances, restarts, and heartbeats in any order."""

    def __init__(self):
        super().__init__()
        self.version = 1
        self.isolated = frozenset()
        self.instances = [sharing_of([]) for _ in range(INSTANCES)]
        # Organisations that have computed a shared part, by scope.
        self.makers = {}

    @stateful.rule(
        isolated=strategies.frozensets(strategies.sampled_from(NAMES))
    )
    def change(self, isolated):
        self.version += 1
        self.isolated = isolated

    @stateful.rule(number=strategies.integers(0, INSTANCES - 1))
    def read(self, number):
        self.instances[number].apply(
            configuration(self.version, self.isolated)
        )

    @stateful.rule(number=strategies.integers(0, INSTANCES - 1))
    def restart(self, number):
        self.instances[number] = sharing_of(self.isolated)
        self.read(number)

    @stateful.rule(
        sender=strategies.integers(0, INSTANCES - 1),
        receiver=strategies.integers(0, INSTANCES - 1),
    )
    def heartbeat(self, sender, receiver):
        content = self.instances[sender].provide()
        self.instances[receiver].consume("peer", content)

    @stateful.rule(
        number=strategies.integers(0, INSTANCES - 1),
        name=strategies.sampled_from(NAMES),
    )
    def send(self, number, name):
        sharing = self.instances[number]
        makers = self.makers.setdefault(sharing.scope_of(name), set())
        if sharing.division.configuration == self.version:
            crossed = {
                maker
                for maker in makers - {name}
                if {maker, name} & self.isolated
            }
            assert not crossed
        makers.add(name)


TestAnySeries = AnySeries.TestCase
