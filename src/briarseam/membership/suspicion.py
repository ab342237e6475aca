"""Failure detection: when a silent member is suspect, and when gone."""

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
    """Update each record's state from its silence."""
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
    """Return a record's state according to its silence.

    A silent member that did not announce its leaving becomes suspect first,
    since :func:`confirm` queries others about it; without their
    confirmation it is gone after ``FORGET_FACTOR`` suspicion times.
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
    """Return the monotonic time from which a peer's silence is counted.

    This is the last time at which the peer was in contact, was confirmed by
    another peer or was added, or at which this process resumed after a
    suspension.
    """
    times = [record.added_at, table.resumed_at]
    if record.last_contact_at is not None:
        times.append(record.last_contact_at)
    if record.confirmed_at is not None:
        times.append(record.confirmed_at)
    return max(times)


def set_state(record: state.PeerRecord, new_state: state.MemberState) -> None:
    """Set a record's state, and log a change."""
    if record.state is new_state:
        return
    log.info("member_state", peer=record.name, was=record.state, now=new_state)
    record.state = new_state


def may_forget(
    record: state.PeerRecord, now: float, table: tables.Table
) -> bool:
    """Return whether a record may be dropped.

    A peer that is on the instance list is kept, and heartbeats to it are
    retried.
    """
    if not table.in_cell(record.name, record.zone):
        return True
    if record.listed_address or record.state is not state.MemberState.GONE:
        return False
    silent_s = now - silence_started_at(record, table)
    return silent_s > FORGET_FACTOR * table.suspect_after_s


def confirm(table: tables.Table, query: Query) -> None:
    """Query other members about each suspect; set it gone if none confirms it.

    If the path between two agents fails, they suspect each other while all
    others still receive from both; setting such a member gone would move
    its sessions without need.  An agent that gets no replies at all is
    probably cut off itself, and sets no member gone.
    """
    for record in suspects(table):
        answers = query_others(table, record.name, query)
        with table.lock:
            resolve(table, record, answers)


def suspects(table: tables.Table) -> list[state.PeerRecord]:
    """Return suspects that were silent long enough to query others."""
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
    """Return the replies of a few live members about another one."""
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
    """Update a suspect from the replies of others."""
    if not answers or record.state is not state.MemberState.SUSPECT:
        return
    if any(shows_alive(answer, record, table) for answer in answers):
        record.confirmed_at = table.clock()
        return
    set_state(record, state.MemberState.GONE)


def shows_alive(
    answer: messages.Heard, record: state.PeerRecord, table: tables.Table
) -> bool:
    """Return whether a reply shows that the suspect is alive."""
    if answer.silent_s is None or answer.incarnation < record.incarnation:
        return False
    return answer.silent_s <= table.suspect_after_s
