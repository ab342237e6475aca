"""Wiring of an agent's crash guard."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.admission import agents
from briarseam.admission import condemnation
from briarseam.admission import condemnation_log
from briarseam.admission import crash_calls
from briarseam.admission import crash_guard
from briarseam.admission import owners
from briarseam.admission import prompt_holds
from briarseam.admission import trial_coordinator
from briarseam.configuration import teams
from briarseam.endpoints import engine_start
from briarseam.routing import state as routing

if typing.TYPE_CHECKING:
    from briarseam import settings as settings_module
    from briarseam.admission import messages as admission
    from briarseam.backing import log as platform_log
    from briarseam.compose import claims as compose_claims
    from briarseam.compose import serving
    from briarseam.configuration import schema
    from briarseam.membership import service as membership
    from briarseam.wire import server

SECTION = "crashes"


@dataclasses.dataclass(frozen=True)
class Engines:
    """The engines, as the crash guard queries them.

    Attributes
    ----------
    view
        Returns the current configuration.
    parts
        Routing and admission.
    """

    view: typing.Callable[[], schema.View]
    parts: serving.ServingParts

    def boot_id(self, endpoint: str) -> str:
        """Return the boot id last reported by an endpoint, or ``""``."""
        load = self.parts.loads.get(endpoint)
        return load.boot_id if load else ""

    def has_died(self, endpoint: str, boot_id: str) -> bool:
        """Query whether an endpoint has died since it had a boot id."""
        engine = self.view().endpoints.get(endpoint)
        if engine is None:
            return False
        return engine_start.has_died(engine.address, boot_id)

    def least_loaded(
        self, request: admission.Admit, version: str
    ) -> list[str]:
        """Return the engines that may run a prompt, least loaded first."""
        return self.parts.chooser.least_loaded(
            routing.PromptQuery(
                organisation="",
                session=request.session,
                model=request.model,
                chain=(),
                prompt_tokens=request.prompt_tokens,
                version=version,
                excluded=frozenset(request.lost),
            )
        )


@dataclasses.dataclass(frozen=True)
class CrashGuardParts:
    """The crash guard and the parts that it uses.

    Attributes
    ----------
    guard
        The crash guard.
    log
        Exchanges evidence through the log.
    calls
        Calls the other agents.
    """

    guard: crash_guard.CrashGuard
    log: condemnation_log.CondemnationLog
    calls: crash_calls.CrashCalls

    def register(self, router: server.Router) -> None:
        """Register the handlers of messages from other agents."""
        self.calls.register(router)

    def start(self) -> None:
        """Start the parts that run threads."""
        self.log.start()
        self.calls.start()

    def stop(self) -> None:
        """Stop the parts that run threads."""
        self.calls.stop()
        self.log.stop()


def build_crashes(
    settings: settings_module.Settings,
    key: bytes,
    log: platform_log.LogClient,
    members: membership.Membership,
    clients: compose_claims.PeerClients,
    engines: Engines,
) -> CrashGuardParts:
    """Return the crash guard, connected to log and heartbeats."""
    clock = condemnation_log.LogClock()
    evidence_set = condemnation.EvidenceSet(clock.now_ms)
    evidence_log = condemnation_log.CondemnationLog(
        log, key, teams.from_settings(settings.teams), evidence_set, clock
    )
    members.add_section(SECTION, evidence_log.provide, evidence_log.consume)
    local_agent = owners.Agent(
        settings.instance.name, str(settings.instance.agent_address)
    )
    calls = crash_calls.CrashCalls(
        agents.Agents(local_agent, members),
        clients,
        prompt_holds.PromptHolds(),
        trial_coordinator.TrialCoordinator(
            evidence_set, evidence_log, engines
        ),
    )
    guard = crash_guard.CrashGuard(
        crash_guard.GuardParts(
            evidence_set,
            evidence_log.record,
            evidence_log.wait_ready,
            calls,
            engines,
        )
    )
    return CrashGuardParts(guard, evidence_log, calls)
