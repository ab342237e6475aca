"""Follows an accepted change until every live agent has it in force."""

from __future__ import annotations

import time
import typing

import msgspec
import urllib3

POLL_S = 0.2
REQUEST_TIMEOUT_S = 2.0
STATUS_PATH = "/v1/status"
HTTP_OK = 200
NOT_LIVE = frozenset({"leaving", "gone"})


class AgentStatus(msgspec.Struct, frozen=True):
    """One agent as an entry's status names it.

    Attributes
    ----------
    name
        The agent.
    configuration_offset
        Last offset that it reported.
    state
        As its peers see it.
    age_s
        Age of the report.
    """

    name: str
    configuration_offset: int
    state: str
    age_s: float


class Status(msgspec.Struct, frozen=True):
    """The part of an entry's status that matters here."""

    agents: tuple[AgentStatus, ...]


class StatusUnavailableError(Exception):
    """No entry told the agents' offsets."""


class Following(msgspec.Struct, frozen=True):
    """How far a change has come.

    Attributes
    ----------
    offset
        The change's offset.
    reached
        Live agents that have it in force.
    stragglers
        Live agents that have not reported it.
    waited_s
        How long that was followed.
    """

    offset: int
    reached: tuple[str, ...]
    stragglers: tuple[AgentStatus, ...]
    waited_s: float


def fetch(
    addresses: typing.Sequence[str], token: str, pool: urllib3.PoolManager
) -> Status:
    """Return the status that the first answering entry gives.

    Raises
    ------
    StatusUnavailableError
        When none gave one.
    """
    detail = "no entry address is known"
    for address in addresses:
        try:
            response = pool.request(
                "GET",
                f"http://{address}{STATUS_PATH}",
                headers={"Authorization": f"Bearer {token}"},
                timeout=REQUEST_TIMEOUT_S,
                retries=False,
            )
        except urllib3.exceptions.HTTPError as error:
            detail = f"{address}: {error}"
            continue
        if response.status != HTTP_OK:
            detail = f"{address} answered {response.status}"
            continue
        try:
            return msgspec.json.decode(response.data, type=Status)
        except msgspec.MsgspecError as error:
            detail = f"{address}: {error}"
    raise StatusUnavailableError(detail)


def judge(status: Status, offset: int, waited_s: float) -> Following:
    """Return who has reached ``offset``."""
    live = [agent for agent in status.agents if agent.state not in NOT_LIVE]
    return Following(
        offset=offset,
        reached=tuple(
            sorted(
                agent.name
                for agent in live
                if agent.configuration_offset >= offset
            )
        ),
        stragglers=tuple(
            agent for agent in live if agent.configuration_offset < offset
        ),
        waited_s=round(waited_s, 3),
    )


def follow(
    addresses: typing.Sequence[str],
    token: str,
    offset: int,
    timeout_s: float,
) -> Following:
    """Ask until every live agent has reached ``offset`` or time is up.

    Raises
    ------
    StatusUnavailableError
        When no entry gave a status by then.
    """
    pool = urllib3.PoolManager()
    started = time.monotonic()
    last: Following | None = None
    while True:
        waited_s = time.monotonic() - started
        try:
            status = fetch(addresses, token, pool)
            last = judge(status, offset, waited_s)
        except StatusUnavailableError:
            if waited_s >= timeout_s and last is None:
                raise
        if last is not None and not last.stragglers and last.reached:
            return last
        if waited_s >= timeout_s and last is not None:
            return last
        time.sleep(POLL_S)
