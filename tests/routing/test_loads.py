"""Which agent polls which engine."""

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


def loads_of(me: str, deployment: Deployment) -> loads.Loads:
    return loads.Loads(
        lambda: deployment.view,
        me,
        lambda: deployment.members,
        lambda: deployment.runs,
        lambda: deployment.now,
    )


def test_each_engine_is_polled_by_one_member() -> None:
    deployment = Deployment(view_of(30))
    shares = [loads_of(me, deployment).wanted() for me in MEMBERS]
    assert sum(map(len, shares)) == 30
    assert set().union(*shares) == set(deployment.view.endpoints)


def test_shares_follow_members_and_endpoints() -> None:
    # An agent dies and its engines are polled by nobody: their loads age
    # out and requests go there blindly.  Shares are kept while nothing
    # changes, so each change must be seen.
    deployment = Deployment(view_of(30))
    mine = loads_of("a", deployment)
    before = mine.wanted()
    deployment.members = ("a",)
    assert set(mine.wanted()) == set(deployment.view.endpoints)
    deployment.view = view_of(31)
    assert len(mine.wanted()) == 31
    deployment.members = MEMBERS
    deployment.view = view_of(30)
    assert mine.wanted() == before


def test_shares_are_not_worked_out_anew_while_nothing_changes() -> None:
    # At 4,000 engines ranking all over a cell's members, twice a second,
    # took an eighth of a core.
    mine = loads_of("a", Deployment(view_of(30)))
    assert mine.wanted() is mine.wanted()


def test_runs_are_told_only_of_engines_that_do_not_report() -> None:
    # Counts of 815 runs over 138 engines, told to 31 members each second,
    # took eight times what control may use of the network.  An engine that
    # falls silent must still not look idle to the others: its runs are
    # told before its last report is forgotten.
    deployment = Deployment(view_of(2), runs={"engine-0": 5, "engine-1": 7})
    mine, other = loads_of("a", deployment), loads_of("b", deployment)
    mine.known["engine-0"] = loads.Load(9, 8, 0, 100.0, "boot", True)
    other.consume("a", mine.provide())
    assert (other.others("engine-0"), other.others("engine-1")) == (0, 7)

    deployment.now += loads.SILENT_AFTER_S + 0.1
    other.consume("a", mine.provide())
    assert other.get("engine-0") is not None
    assert other.others("engine-0") == 5
