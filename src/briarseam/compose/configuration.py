"""Wiring of an agent's configuration reader."""

from __future__ import annotations

import dataclasses
import functools
import struct
import typing

from briarseam.configuration import fold as folds
from briarseam.configuration import reader as readers
from briarseam.configuration import records
from briarseam.configuration import state as states
from briarseam.configuration import teams

if typing.TYPE_CHECKING:
    from briarseam import settings as settings_module
    from briarseam.backing import log as platform_log
    from briarseam.membership import service as membership
    from briarseam.metrics import registry as metrics
    from briarseam.timeline import ring as timeline
    from briarseam.wire import connection

SECTION = "configuration"
OFFSET = struct.Struct("!Q")
AGENT_ROLE = "agent"
# A first apply sets hundreds of paths, which must not crowd other events out
# of the ring.
MAX_PATHS_RECORDED = 16

MembershipOf = typing.Callable[[], "membership.Membership"]


def build_reader(
    settings: settings_module.Settings,
    log: platform_log.LogClient,
    identity: connection.Identity,
    key: bytes,
    membership_of: MembershipOf,
) -> readers.ConfigurationReader:
    """Return the configuration reader of an agent.

    Parameters
    ----------
    settings
        Settings of this instance.
    log
        Client of the log.
    identity
        Identity of this process.
    key
        Shared key.
    membership_of
        Returns the membership, which itself depends on the configuration
        and is built later.
    """

    def members() -> dict[str, str]:
        live = membership_of().live(include_leaving=True)
        return {member.name: member.agent_address for member in live}

    def other_cell_members() -> dict[str, str]:
        return membership_of().list_reader.agents()

    return readers.ConfigurationReader(
        log,
        teams.from_settings(settings.teams),
        identity,
        key,
        members,
        other_cell_members,
        readers.options_for(
            settings.platform.log_poll_ms, settings.platform.log_retention_s
        ),
    )


def attach(
    reader: readers.ConfigurationReader,
    member_service: membership.Membership,
    registry: metrics.Registry,
    ring: timeline.Ring,
) -> None:
    """Publish the reader's state in heartbeats, metrics and time line."""
    member_service.add_section(
        SECTION,
        lambda: OFFSET.pack(reader.offset()),
        lambda name, data: reader.record_peer_offset(
            name, OFFSET.unpack(data)[0]
        ),
    )
    for field in dataclasses.fields(states.Counters):
        registry.callback_gauge(
            f"configuration_{field.name}",
            f"Configuration: {field.name.replace('_', ' ')} since start",
            functools.partial(getattr, reader.counters, field.name),
        )
    registry.callback_gauge(
        "configuration_offset",
        "Offset of the last configuration record in force here",
        reader.offset,
    )
    registry.callback_gauge(
        "configuration_log_age_seconds",
        "Age of the last proof that this is the log's end",
        reader.log_age_s,
    )
    reader.tree.on_verdict = lambda verdict, data: record_verdict(
        ring, verdict, data
    )


def record_verdict(
    ring: timeline.Ring, verdict: folds.FoldVerdict, data: bytes
) -> None:
    """Record the verdict on a configuration record in the time line."""
    kind = f"configuration-{type(verdict).__name__.lower()}"
    change = records.decode_unverified(data)
    match verdict:
        case folds.Rejected(offset, folds.RejectReason.NOT_AUTHENTIC):
            ring.note(kind, offset=offset, reason=verdict.reason.value)
        case folds.Rejected(offset, reason, path):
            ring.note(kind, path=path, offset=offset, reason=reason.value)
        case folds.Accepted(offset) if change is not None:
            for path in list(change.sets)[:MAX_PATHS_RECORDED]:
                ring.note(
                    kind, path=path, offset=offset, paths=len(change.sets)
                )
        case _:
            ring.note(kind, offset=verdict.offset)
