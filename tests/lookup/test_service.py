from __future__ import annotations

import collections

import pytest

from briarseam.lookup import service
from briarseam.membership import state

ALIVE = state.MemberState.ALIVE
LEAVING = state.MemberState.LEAVING
SUSPECT = state.MemberState.SUSPECT
SESSIONS = 4000


def member(
    name: str,
    cell: str = "rumoi/0",
    member_state: state.MemberState = ALIVE,
    entries: tuple[str, ...] | None = None,
) -> state.Member:
    return state.Member(
        name=name,
        zone=cell.partition("/")[0],
        cell=cell,
        agent_address="127.0.0.1:1",
        entry_addresses=(f"{name}:80",) if entries is None else entries,
        state=member_state,
    )


def lookup_of(
    *members: state.Member, max_addresses: int = 4
) -> service.Lookup:
    return service.Lookup(
        lambda: members, {"digest": "org"}.get, 5.0, max_addresses
    )


def first_addresses(lookup: service.Lookup) -> list[str]:
    return [
        lookup.where("org", f"s{number}").addresses[0]
        for number in range(SESSIONS)
    ]


def test_every_agent_gives_the_same_order() -> None:
    """A caller that queries different entries must get the same address,
    that of the instance with its cache index.
    """
    members = [member(name) for name in "abcdef"]
    one = lookup_of(*members)
    other = lookup_of(*reversed(members))
    assert first_addresses(one) == first_addresses(other)


def test_sessions_spread_over_entries() -> None:
    """No instance gets far more than its share of many sessions."""
    counts = collections.Counter(
        first_addresses(lookup_of(*map(member, "abcdef")))
    )
    assert max(counts.values()) < 1.15 * SESSIONS / 6


def test_only_sessions_of_a_leaving_instance_move() -> None:
    """When an instance leaves, the callers of all others keep their address,
    so that no other kept cache is lost.
    """
    before = first_addresses(lookup_of(*map(member, "abcdef")))
    after = first_addresses(lookup_of(*map(member, "abcde")))
    for old, new in zip(before, after, strict=True):
        assert new == old or old == "f:80"


def test_join_moves_sessions_only_to_the_new_member() -> None:
    """When an instance joins one of three zones of unequal size, the only
    sessions that move are those that it owns now.
    """
    members = [member(name) for name in "abc"]
    members += [member(name, "ishikari/0") for name in "de"]
    members += [member(name, "wakkanai/0") for name in "fg"]
    before = first_addresses(lookup_of(*members))
    after = first_addresses(lookup_of(*members, member("h", "ishikari/0")))
    for old, new in zip(before, after, strict=True):
        assert new in (old, "h:80")


@pytest.mark.parametrize(
    "member_state",
    [
        pytest.param(LEAVING, id="leaving"),
        pytest.param(state.MemberState.GONE, id="gone"),
    ],
)
def test_leaving_or_gone_instance_is_absent(
    member_state: state.MemberState,
) -> None:
    """No caller gets the address of an instance that is being stopped."""
    lookup = lookup_of(member("a"), member("b", member_state=member_state))
    for number in range(50):
        assert lookup.where("org", f"s{number}").addresses == ("a:80",)


def test_suspect_instance_comes_last() -> None:
    """A silent instance may be dead: callers try it after the others, but
    still have its address in case no other answers.
    """
    lookup = lookup_of(member("a"), member("b", member_state=SUSPECT))
    for number in range(50):
        addresses = lookup.where("org", f"s{number}").addresses
        assert addresses == ("a:80", "b:80")
    assert lookup.owner("org", "s") == member("a")


def test_suspect_comes_after_members_of_other_zones() -> None:
    """If a session's own zone has one live and one silent instance, an
    instance of another zone is the better second choice.
    """
    lookup = lookup_of(
        member("a"),
        member("b", member_state=SUSPECT),
        member("c", "wakkanai/0"),
    )
    for number in range(50):
        addresses = lookup.where("org", f"s{number}").addresses
        assert set(addresses[:2]) == {"a:80", "c:80"}
        assert addresses[2] == "b:80"


def test_members_of_other_cells_follow_those_of_the_own_cell() -> None:
    """Zones are divided into cells.  If a session's own cell is unreachable,
    the caller's answer also has addresses of another zone.
    """
    members = [member(name, "rumoi/1") for name in "ab"]
    members += [member(name, "wakkanai/0") for name in "cd"]
    zones = set()
    for number in range(50):
        addresses = lookup_of(*members).where("org", f"s{number}").addresses
        cells = ["ab" if address[0] in "ab" else "cd" for address in addresses]
        assert cells in (["ab", "ab", "cd", "cd"], ["cd", "cd", "ab", "ab"])
        zones.add(cells[0])
    assert zones == {"ab", "cd"}


def test_entries_of_one_instance_share_its_sessions() -> None:
    """If an instance runs two entry processes, both get callers, and a
    session always gets the same one.
    """
    lookup = lookup_of(member("a", entries=("a:80", "a:81")))
    assert set(first_addresses(lookup)) == {"a:80", "a:81"}
    assert first_addresses(lookup) == first_addresses(lookup)


def test_sessions_spread_by_entry_processes() -> None:
    """Cells differ in size and instances in their number of entry
    processes: each process gets the same share of the sessions, rather than
    each cell or instance.
    """
    members = [
        member("a", entries=("a:80", "a:81", "a:82")),
        member("b"),
        member("c"),
        member("d", "wakkanai/0"),
    ]
    counts = collections.Counter(first_addresses(lookup_of(*members)))
    assert len(counts) == 6
    assert max(counts.values()) < 1.15 * SESSIONS / 6
    assert min(counts.values()) > 0.85 * SESSIONS / 6


def test_answer_has_addresses_of_other_zones() -> None:
    """If a whole zone fails, callers that keep an answer still have the
    addresses in other zones.
    """
    members = [
        member(f"{zone}{number}", f"{zone}/0")
        for zone in ("rumoi", "ishikari", "wakkanai")
        for number in range(5)
    ]
    lookup = lookup_of(*members)
    for number in range(50):
        addresses = lookup.where("org", f"s{number}").addresses
        zones = [address.rstrip("0123456789:") for address in addresses]
        assert len(addresses) == 4
        assert len(set(zones)) == 3


def test_organisations_are_ranked_independently() -> None:
    """Sessions of the same name in two organisations do not all get the
    same instances.
    """
    lookup = lookup_of(*map(member, "abcdef"))
    names = [f"s{number}" for number in range(50)]
    one = [lookup.where("org", name).addresses[0] for name in names]
    other = [lookup.where("other", name).addresses[0] for name in names]
    assert one != other
