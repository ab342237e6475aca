"""Composing the crash guard of an agent."""

from __future__ import annotations

import contextlib
import dataclasses
import queue
import threading
import time
import typing

from briarseam.admission import condemnation
from briarseam.admission import condemnation_log
from briarseam.admission import condemnation_records as records
from briarseam.admission import crash_guard
from briarseam.admission import crash_messages as messages
from briarseam.admission import evidence
from briarseam.admission import holdings
from briarseam.admission import owners
from briarseam.admission import trials
from briarseam.configuration import teams
from briarseam.endpoints import engine_start
from briarseam.routing import state as routing
from briarseam.wire import connection

if typing.TYPE_CHECKING:
    from briarseam import settings as settings_module
    from briarseam.admission import messages as admission
    from briarseam.backing import log as platform_log
    from briarseam.compose import claims as compose_claims
    from briarseam.compose import serving
    from briarseam.configuration import schema
    from briarseam.membership import service as membership
    from briarseam.wire import codec
    from briarseam.wire import server

SECTION = "crashes"
AGENT_ROLE = "agent"
OWNER_KEY = "prompt-{}"
KEEPER_KEY = "keeper-of-trials"
# An owner that does not answer holds a prompt up for so long, then the
# next in rank is asked for a while.
ASK_S = 0.3
AVOID_S = 2.0
# A trial is written to the log before it is granted.
TRIAL_SLACK_S = trials.WRITE_S + 2 * ASK_S
ASKED = 3
MAX_RELEASES = 10_000


class Agents:
    """All agents that share the guard's work, of whatever cell.

    A prompt may be sent again in another availability zone, so its owner
    is found over all listed agents; those of this cell are known better.

    Parameters
    ----------
    me
        This agent.
    members
        Membership.
    """

    def __init__(
        self, me: owners.Agent, members: membership.Membership
    ) -> None:
        self.me = me
        self.members = members
        self.seen: tuple[object, object] = (None, None)
        self.ring = owners.Ring({me.name: me})

    def first(self, key: str, count: int) -> list[owners.Agent]:
        """Return the first agents of a key."""
        rows = self.members.list_reader.rows
        members = self.members.members()
        if rows is not self.seen[0] or members is not self.seen[1]:
            found = self.find()
            if found != self.ring.agents:
                self.ring = owners.Ring(found)
            self.seen = (rows, members)
        return self.ring.first(key, count)

    def find(self) -> dict[str, owners.Agent]:
        """Return the agents by name."""
        cell = {member.name for member in self.members.members()}
        found = {
            row.name: owners.Agent(row.name, row.address)
            for row in self.members.list_reader.rows
            if row.role == AGENT_ROLE and row.name not in cell
        }
        for member in self.members.live():
            found[member.name] = owners.Agent(
                member.name, member.agent_address
            )
        found[self.me.name] = self.me
        return found


class Others:
    """Asks the agents that rank first for a prompt, or keep the trials.

    Parameters
    ----------
    agents
        All agents.
    me
        This agent.
    clients
        Clients of agents by address.
    held, tried
        What this agent keeps itself.
    """

    def __init__(
        self,
        agents: Agents,
        clients: compose_claims.PeerClients,
        held: holdings.Holdings,
        tried: trials.Trials,
    ) -> None:
        self.agents = agents
        self.clients = clients
        self.held = held
        self.tried = tried
        self.silent: dict[str, float] = {}
        self.releases: queue.Queue[messages.Release | None] = queue.Queue(
            MAX_RELEASES
        )

    def register(self, router: server.Router) -> None:
        """Answer the other agents."""
        for kind in (
            messages.Hold,
            messages.HoldCopy,
            messages.Release,
            messages.AskTrial,
            messages.Accuse,
        ):
            router.on(kind, lambda peer, message: self.here(message))

    def here(self, message: codec.Message) -> codec.Message:
        """Answer a message as its owner or keeper."""
        match message:
            case messages.Hold():
                return self.held.hold(message)
            case messages.HoldCopy():
                return self.held.copy(message)
            case messages.Release():
                return self.held.release(message)
            case messages.AskTrial():
                return self.tried.ask(message)
            case messages.Accuse(data):
                self.tried.take(records.decode_items(data))
        return messages.PromptNoted()

    def ask(
        self, key: str, message: codec.Message, timeout_s: float = ASK_S
    ) -> codec.Message | None:
        """Ask the first in rank that answers; ``None`` when none does."""
        for agent in self.agents.first(key, ASKED):
            if self.silent.get(agent.name, 0.0) > time.monotonic():
                continue
            if agent.name == self.agents.me.name:
                return self.here(message)
            try:
                client = self.clients(agent.address)
                return client.call(message, timeout_s)
            except connection.WireError:
                self.silent[agent.name] = time.monotonic() + AVOID_S
        return None

    def hold(self, ask: messages.Hold) -> messages.Holding | None:
        """Ask the prompt's owner; ``None`` when it does not answer."""
        reply = self.ask(OWNER_KEY.format(ask.fingerprint), ask)
        if not isinstance(reply, messages.Holding):
            return None
        if reply.endpoint == ask.endpoint and not reply.suspect:
            self.copy_own(
                messages.HoldCopy(
                    ask.fingerprint, ask.run, ask.endpoint, reply.group
                )
            )
        return reply

    def copy_own(self, copy: messages.HoldCopy) -> None:
        """Let another agent know of a run that only this one would.

        An agent that owns the prompt it grants takes both with it when it
        dies; with the endpoint dead as well, nobody would have seen the
        loss, and the prompt's resends took down three.
        """
        agents = self.agents.first(OWNER_KEY.format(copy.fingerprint), 2)
        if agents[0].name == self.agents.me.name and len(agents) > 1:
            self.tell(agents[1], copy)

    def tell(self, agent: owners.Agent, message: codec.Message) -> None:
        """Tell one agent; may be lost."""
        if self.silent.get(agent.name, 0.0) > time.monotonic():
            return
        try:
            self.clients(agent.address).call(message, ASK_S)
        except connection.WireError:
            self.silent[agent.name] = time.monotonic() + AVOID_S

    def tell_release(self, told: messages.Release) -> None:
        """Tell the prompt's owner, and who has a copy if this is it."""
        key = OWNER_KEY.format(told.fingerprint)
        self.ask(key, told)
        agents = self.agents.first(key, 2)
        if agents[0].name == self.agents.me.name and len(agents) > 1:
            self.tell(agents[1], told)

    def release(self, told: messages.Release) -> None:
        """Tell the prompt's owner, of a good end without waiting for it."""
        if not told.whole:
            self.tell_release(told)
            return
        # The owner forgets a run by itself in time.
        with contextlib.suppress(queue.Full):
            self.releases.put_nowait(told)

    def ask_trial(
        self, ask: messages.AskTrial
    ) -> messages.TrialAnswered | None:
        """Ask the keeper of trials; ``None`` when it does not answer."""
        reply = self.ask(KEEPER_KEY, ask, ask.wait_s + TRIAL_SLACK_S)
        return reply if isinstance(reply, messages.TrialAnswered) else None

    def accuse(self, items: typing.Sequence[evidence.Item]) -> None:
        """Tell the keeper of trials; may be lost."""
        self.ask(KEEPER_KEY, messages.Accuse(records.encode_items(items)))

    def start(self) -> None:
        """Begin telling owners of good ends."""
        threading.Thread(
            target=self.tell_on, name="releases", daemon=True
        ).start()

    def stop(self) -> None:
        """Stop telling."""
        self.releases.put(None)

    def tell_on(self) -> None:
        """Tell until stopped."""
        while (told := self.releases.get()) is not None:
            self.tell_release(told)


@dataclasses.dataclass(frozen=True)
class Engines:
    """What the guard asks of engines.

    Attributes
    ----------
    view
        Present configuration.
    parts
        Routing and admission.
    """

    view: typing.Callable[[], schema.View]
    parts: serving.Serving

    def boot_id(self, endpoint: str) -> str:
        """Return the start that an endpoint last told; empty if none."""
        load = self.parts.loads.get(endpoint)
        return load.boot_id if load else ""

    def has_died(self, endpoint: str, boot_id: str) -> bool:
        """Ask an endpoint whether it is still the same start."""
        found = self.view().endpoints.get(endpoint)
        if found is None:
            return False
        return engine_start.has_died(found.address, boot_id)

    def idlest(self, request: admission.Admit, version: str) -> list[str]:
        """Return the engines that may run a prompt, the idlest first."""
        return self.parts.chooser.idlest(
            routing.PromptAsk(
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
class Crashes:
    """The crash guard and its parts with threads."""

    guard: crash_guard.CrashGuard
    log: condemnation_log.CondemnationLog
    others: Others

    def register(self, router: server.Router) -> None:
        """Answer the other agents."""
        self.others.register(router)

    def start(self) -> None:
        """Start the parts with threads."""
        self.log.start()
        self.others.start()

    def stop(self) -> None:
        """Stop them."""
        self.others.stop()
        self.log.stop()


def build_crashes(
    settings: settings_module.Settings,
    key: bytes,
    log: platform_log.LogClient,
    members: membership.Membership,
    clients: compose_claims.PeerClients,
    engines: Engines,
) -> Crashes:
    """Return the crash guard, wired to log and heartbeats."""
    clock = condemnation_log.LogClock()
    book = condemnation.Book(clock.now_ms)
    noted = condemnation_log.CondemnationLog(
        log, key, teams.from_settings(settings.teams), book, clock
    )
    members.add_section(SECTION, noted.provide, noted.consume)
    me = owners.Agent(
        settings.instance.name, str(settings.instance.agent_address)
    )
    others = Others(
        Agents(me, members),
        clients,
        holdings.Holdings(),
        trials.Trials(book, noted, engines),
    )
    guard = crash_guard.CrashGuard(
        crash_guard.GuardParts(
            book, noted.note, noted.wait_ready, others, engines
        )
    )
    return Crashes(guard, noted, others)
