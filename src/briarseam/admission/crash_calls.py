"""Calls between agents about prompts that may crash engines."""

from __future__ import annotations

import contextlib
import queue
import threading
import time
import typing

from briarseam.admission import condemnation_records as records
from briarseam.admission import crash_messages as messages
from briarseam.admission import trial_coordinator
from briarseam.wire import connection

if typing.TYPE_CHECKING:
    from briarseam.admission import agents as all_agents
    from briarseam.admission import evidence
    from briarseam.admission import owners
    from briarseam.admission import prompt_holds
    from briarseam.wire import client as wire_client
    from briarseam.wire import codec
    from briarseam.wire import server

OWNER_KEY = "prompt-{}"
KEEPER_KEY = "keeper-of-trials"
# An owner that does not answer holds a prompt up for so long, then the
# next in rank is asked for a while.
ASK_S = 0.3
AVOID_S = 2.0
# A trial is written to the log before it is granted.
TRIAL_SLACK_S = trial_coordinator.WRITE_S + 2 * ASK_S
ASKED = 3
MAX_RELEASES = 10_000
# From an agent's address to its client.
Clients = typing.Callable[[str], "wire_client.Client"]


class CrashCalls:
    """Asks the agents that rank first for a prompt, or keep the trials.

    Parameters
    ----------
    agents
        All agents.
    clients
        Clients of agents by address.
    held, tried
        What this agent keeps itself.
    """

    def __init__(
        self,
        agents: all_agents.Agents,
        clients: Clients,
        held: prompt_holds.PromptHolds,
        tried: trial_coordinator.TrialCoordinator,
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
        for agent in self.agents.owners_of(key, ASKED):
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
        agents = self.agents.owners_of(OWNER_KEY.format(copy.fingerprint), 2)
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
        agents = self.agents.owners_of(key, 2)
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
