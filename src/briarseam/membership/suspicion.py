"""When a silent member becomes suspect, and when it is gone."""

from __future__ import annotations

import typing

import structlog

from briarseam.membership import messages
from briarseam.membership import state
from briarseam.wire import connection as connections

if typing.TYPE_CHECKING:
    from briarseam.membership import table as tables

QUERIED_MEMBERS = 2
GONE_FACTOR = 2.0
FORGET_FACTOR = 10.0
log = structlog.get_logger("briarseam.membership")
Query = typing.Callable[[str, messages.HeardAsked], typing.Any]


def review(table: tables.Table) -> None:
    """Set each record's state from its silence."""
    now = table.clock()
    with table.lock:
        table.record_review(now)
        for record in list(table.records.values()):
            set_state(record, state_for(record, now, table))
            if may_forget(record, now, table):
                del table.records[record.name]
                log.info("peer_forgotten", peer=record.name)


def state_for(
    record: state.PeerRecord, now: float, table: tables.Table
) -> state.MemberState:
    """Return the state that a record's silence gives it.

    Only :func:`confirm` makes a member gone that has not said that it is
    leaving, since it asks others first.
    """
    if record.silent_s(now) <= table.suspect_after_s:
        if record.is_leaving():
            return state.MemberState.LEAVING
        return state.MemberState.ALIVE
    if record.announced_leaving:
        return state.MemberState.GONE
    if record.state is state.MemberState.GONE:
        return state.MemberState.GONE
    if (
        now - silence_started_at(record, table)
        > FORGET_FACTOR * table.suspect_after_s
    ):
        return state.MemberState.GONE
    return state.MemberState.SUSPECT


def silence_started_at(record: state.PeerRecord, table: tables.Table) -> float:
    """Return since when its silence counts against it.

    It was last heard, vouched for or first heard of then, or this process
    woke from a freeze.
    """
    times = [record.added_at, table.resumed_at]
    if record.last_contact_at is not None:
        times.append(record.last_contact_at)
    if record.confirmed_at is not None:
        times.append(record.confirmed_at)
    return max(times)


def set_state(record: state.PeerRecord, new_state: state.MemberState) -> None:
    """Set a record's state; a line in the log when it differs."""
    if record.state is new_state:
        return
    log.info("member_state", peer=record.name, was=record.state, now=new_state)
    record.state = new_state


def may_forget(
    record: state.PeerRecord, now: float, table: tables.Table
) -> bool:
    """Tell whether a record may be dropped.

    One that the list still shows is kept, and tried again, as long as the
    list shows it.
    """
    if not table.in_cell(record.name, record.zone):
        return True
    if record.listed_address or record.state is not state.MemberState.GONE:
        return False
    silent_s = now - silence_started_at(record, table)
    return silent_s > FORGET_FACTOR * table.suspect_after_s


def confirm(table: tables.Table, query: Query) -> None:
    """Ask other members about each suspect; call it gone if none hears it.

    A cut between two agents makes each suspect the other while all the
    rest still hear both; calling such a member gone would move its
    sessions away for nothing.  Whoever hears nobody at all is probably cut
    off itself and calls nobody gone.
    """
    for record in suspects(table):
        answers = query_others(table, record.name, query)
        with table.lock:
            resolve(table, record, answers)


def suspects(table: tables.Table) -> list[state.PeerRecord]:
    """Return suspects silent for so long that others should be asked."""
    now = table.clock()
    with table.lock:
        return [
            record
            for record in table.records.values()
            if record.state is state.MemberState.SUSPECT
            and now - silence_started_at(record, table)
            > GONE_FACTOR * table.suspect_after_s
        ]


def query_others(
    table: tables.Table, name: str, query: Query
) -> list[messages.Heard]:
    """Return what a few live members say about one."""
    with table.lock:
        others = [
            record.name
            for record in table.records.values()
            if record.state is state.MemberState.ALIVE
        ][:QUERIED_MEMBERS]
    answers = []
    for other in others:
        try:
            answer = query(other, messages.HeardAsked(name))
        except connections.WireError:
            continue
        if isinstance(answer, messages.Heard):
            answers.append(answer)
    return answers


def resolve(
    table: tables.Table,
    record: state.PeerRecord,
    answers: list[messages.Heard],
) -> None:
    """Set a suspect's state from what others answered."""
    if not answers or record.state is not state.MemberState.SUSPECT:
        return
    if any(shows_alive(answer, record, table) for answer in answers):
        record.confirmed_at = table.clock()
        return
    set_state(record, state.MemberState.GONE)


def shows_alive(
    answer: messages.Heard, record: state.PeerRecord, table: tables.Table
) -> bool:
    """Tell whether an answer shows that the suspect lives."""
    if answer.silent_s is None or answer.incarnation < record.incarnation:
        return False
    return answer.silent_s <= table.suspect_after_s
