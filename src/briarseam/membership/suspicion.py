"""When a silent member becomes suspect, and when it is gone."""

from __future__ import annotations

import typing

import structlog

from briarseam.membership import messages
from briarseam.membership import state
from briarseam.wire import connection as connections

if typing.TYPE_CHECKING:
    from briarseam.membership import table as tables

ASKED = 2
GONE_FACTOR = 2.0
FORGET_FACTOR = 10.0
log = structlog.get_logger("briarseam.membership")
Ask = typing.Callable[[str, messages.HeardAsked], typing.Any]


def review(table: tables.Table) -> None:
    """Set each record's state from its silence."""
    now = table.clock()
    with table.lock:
        table.note_review(now)
        for found in list(table.records.values()):
            change(found, judge(found, now, table))
            if forgotten(found, now, table):
                del table.records[found.name]
                log.info("peer_forgotten", peer=found.name)


def judge(
    found: state.Record, now: float, table: tables.Table
) -> state.MemberState:
    """Return the state that a record's silence gives it.

    Only :func:`confirm` makes a member gone that has not said that it is
    leaving, since it asks others first.
    """
    if found.silent_s(now) <= table.suspect_after_s:
        if found.leaving():
            return state.MemberState.LEAVING
        return state.MemberState.ALIVE
    if found.told_leaving:
        return state.MemberState.GONE
    if found.state is state.MemberState.GONE:
        return state.MemberState.GONE
    if now - last_sign(found, table) > FORGET_FACTOR * table.suspect_after_s:
        return state.MemberState.GONE
    return state.MemberState.SUSPECT


def last_sign(found: state.Record, table: tables.Table) -> float:
    """Return since when its silence counts against it.

    It was last heard, vouched for or first heard of then, or this process
    woke from a freeze.
    """
    signs = [found.added_at, table.woke_at]
    if found.heard_at is not None:
        signs.append(found.heard_at)
    if found.vouched_at is not None:
        signs.append(found.vouched_at)
    return max(signs)


def change(found: state.Record, new: state.MemberState) -> None:
    """Set a record's state; a line in the log when it differs."""
    if found.state is new:
        return
    log.info("member_state", peer=found.name, was=found.state, now=new)
    found.state = new


def forgotten(found: state.Record, now: float, table: tables.Table) -> bool:
    """Tell whether a record may be dropped.

    One that the list still shows is kept, and tried again, as long as the
    list shows it.
    """
    if not table.in_cell(found.name, found.zone):
        return True
    if found.listed_address or found.state is not state.MemberState.GONE:
        return False
    silent_s = now - last_sign(found, table)
    return silent_s > FORGET_FACTOR * table.suspect_after_s


def confirm(table: tables.Table, ask: Ask) -> None:
    """Ask other members about each suspect; call it gone if none hears it.

    A cut between two agents makes each suspect the other while all the
    rest still hear both; calling such a member gone would move its
    sessions away for nothing.  Whoever hears nobody at all is probably cut
    off itself and calls nobody gone.
    """
    for found in suspects(table):
        answers = ask_others(table, found.name, ask)
        with table.lock:
            settle(table, found, answers)


def suspects(table: tables.Table) -> list[state.Record]:
    """Return suspects silent for so long that others should be asked."""
    now = table.clock()
    with table.lock:
        return [
            found
            for found in table.records.values()
            if found.state is state.MemberState.SUSPECT
            and now - last_sign(found, table)
            > GONE_FACTOR * table.suspect_after_s
        ]


def ask_others(
    table: tables.Table, name: str, ask: Ask
) -> list[messages.Heard]:
    """Return what a few live members say about one."""
    with table.lock:
        others = [
            found.name
            for found in table.records.values()
            if found.state is state.MemberState.ALIVE
        ][:ASKED]
    answers = []
    for other in others:
        try:
            answer = ask(other, messages.HeardAsked(name))
        except connections.WireError:
            continue
        if isinstance(answer, messages.Heard):
            answers.append(answer)
    return answers


def settle(
    table: tables.Table, found: state.Record, answers: list[messages.Heard]
) -> None:
    """Set a suspect's state from what others answered."""
    if not answers or found.state is not state.MemberState.SUSPECT:
        return
    if any(vouches(answer, found, table) for answer in answers):
        found.vouched_at = table.clock()
        return
    change(found, state.MemberState.GONE)


def vouches(
    answer: messages.Heard, found: state.Record, table: tables.Table
) -> bool:
    """Tell whether an answer shows that the suspect lives."""
    if answer.silent_s is None or answer.incarnation < found.incarnation:
        return False
    return answer.silent_s <= table.suspect_after_s
