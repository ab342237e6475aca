"""Wiring of an agent's membership."""

from __future__ import annotations

import typing

from briarseam.backing import instances
from briarseam.membership import cells
from briarseam.membership import service as membership
from briarseam.membership import state as members

if typing.TYPE_CHECKING:
    from briarseam import settings as settings_module
    from briarseam.membership import endpoints
    from briarseam.metrics import registry as metrics
    from briarseam.wire import connection

MS = 1000.0


def build_membership(
    settings: settings_module.Settings,
    key: bytes,
    parts_of: typing.Callable[[str], int],
    clock: connection.Clock,
) -> membership.Membership:
    """Return the membership of an agent.

    The agent starts without entry addresses; an entry is added once it
    reports to the agent.

    Parameters
    ----------
    settings
        Settings of this instance.
    key
        Shared key.
    parts_of
        Returns the number of cells in a zone.
    clock
        Clock that stamps the frames.
    """
    return membership.Membership(
        members.LocalAgent(
            name=settings.instance.name,
            zone=settings.instance.zone,
            agent_address=str(settings.instance.agent_address),
        ),
        instances.InstanceList(
            str(settings.platform.instances),
            settings.platform.instances_timeout_ms / MS,
        ),
        key,
        seeds=tuple(str(seed) for seed in settings.agent.peers_seed),
        cell_of=cells.by_parts(parts_of),
        heartbeat_interval_s=settings.agent.heartbeat_interval_ms / MS,
        suspect_after_s=settings.agent.suspect_after_ms / MS,
        list_interval_s=settings.platform.instances_poll_ms / MS,
        stamps=clock,
    )


def register_metrics(
    registry: metrics.Registry,
    service: membership.Membership,
    leaving: endpoints.LeavingEndpoints,
) -> None:
    """Register the metrics of the membership."""

    def count(state: members.MemberState) -> typing.Callable[[], int]:
        return lambda: sum(
            member.state is state for member in service.members()
        )

    for state, meaning in (
        (members.MemberState.ALIVE, "heard"),
        (members.MemberState.SUSPECT, "silent"),
        (members.MemberState.LEAVING, "shutting down"),
    ):
        registry.callback_gauge(
            f"membership_{state}",
            f"Agents of this cell that are {meaning}",
            count(state),
        )
    directory = service.gossip.directory
    registry.callback_gauge(
        "membership_cells",
        "Cells known, this one included",
        lambda: len(directory.stamps()),
    )
    registry.callback_gauge(
        "membership_cells_lost",
        "Cells that seem dead or cut off",
        lambda: len(directory.lost()),
    )
    registry.callback_gauge(
        "membership_fresh",
        "1 while a peer has answered within the limit, else 0",
        lambda: int(service.is_fresh()),
    )
    registry.callback_gauge(
        "membership_heartbeats_answered",
        "Heartbeats that were answered, since start",
        lambda: service.replies.heartbeats_answered,
    )
    registry.callback_gauge(
        "membership_heartbeats_failed",
        "Heartbeats that were not, since start",
        lambda: service.replies.heartbeats_failed,
    )
    registry.callback_gauge(
        "instance_list_bytes",
        "Bytes of the instance list read since start",
        lambda: service.list_reader.bytes_read,
    )
    registry.callback_gauge(
        "endpoints_leaving",
        "Configured endpoints that get no new work",
        lambda: len(leaving.leaving_endpoints()),
    )
