"""Assignment of engines to polling agents, and the published loads."""

from __future__ import annotations

import dataclasses

from briarseam.configuration import schema
from briarseam.configuration import values
from briarseam.routing import loads

MEMBERS = ("a", "b", "c")


@dataclasses.dataclass
class Deployment:
    view: schema.View
    members: tuple[str, ...] = MEMBERS
    runs: dict[str, int] = dataclasses.field(default_factory=dict)
    now: float = 100.0


def view_of(count: int) -> schema.View:
    return schema.View(
        endpoints={
            f"engine-{number}": values.Endpoint(
                values.EndpointKind.ENGINE, f"127.0.0.1:{7000 + number}", "z"
            )
            for number in range(count)
        }
    )


def loads_of(own_name: str, deployment: Deployment) -> loads.Loads:
    return loads.Loads(
        lambda: deployment.view,
        own_name,
        lambda: deployment.members,
        lambda: deployment.runs,
        lambda: deployment.now,
    )


def test_each_engine_is_polled_by_one_member() -> None:
    deployment = Deployment(view_of(30))
    shares = [loads_of(name, deployment).assigned() for name in MEMBERS]
    assert sum(map(len, shares)) == 30
    assert set().union(*shares) == set(deployment.view.endpoints)


def test_assignment_follows_members_and_endpoints() -> None:
    # The engines of a failed agent must be polled by others; otherwise their
    # loads expire and requests are routed without them.  The assignment is
    # cached, so each change must be noticed.
    deployment = Deployment(view_of(30))
    local = loads_of("a", deployment)
    before = local.assigned()
    deployment.members = ("a",)
    assert set(local.assigned()) == set(deployment.view.endpoints)
    deployment.view = view_of(31)
    assert len(local.assigned()) == 31
    deployment.members = MEMBERS
    deployment.view = view_of(30)
    assert local.assigned() == before


def test_assignment_is_cached_while_nothing_changes() -> None:
    # Ranking 4,000 engines over a cell's members twice a second takes an
    # eighth of a core.
    local = loads_of("a", Deployment(view_of(30)))
    assert local.assigned() is local.assigned()


def test_runs_are_published_only_for_engines_that_do_not_report() -> None:
    # Counts of 815 runs over 138 engines, sent to 31 members each second,
    # take eight times the bandwidth that control traffic may use.  An engine
    # that falls silent must not look idle to the other agents: its runs are
    # published before its last report expires.
    deployment = Deployment(view_of(2), runs={"engine-0": 5, "engine-1": 7})
    local, peer = loads_of("a", deployment), loads_of("b", deployment)
    local.known["engine-0"] = loads.Load(9, 8, 0, 100.0, "boot", True)
    peer.consume("a", local.provide())
    assert (
        peer.peer_run_count("engine-0"),
        peer.peer_run_count("engine-1"),
    ) == (0, 7)

    deployment.now += loads.SILENT_AFTER_S + 0.1
    peer.consume("a", local.provide())
    assert peer.get("engine-0") is not None
    assert peer.peer_run_count("engine-0") == 5
