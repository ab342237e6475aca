"""Calls between agents about prompts that may crash endpoints."""

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
COORDINATOR_KEY = "keeper-of-trials"
# An agent that does not reply in time delays a prompt by this; after that,
# the next in rank is called for a while.
CALL_TIMEOUT_S = 0.3
AVOID_S = 2.0
# A trial is written to the log before it is granted.
TRIAL_SLACK_S = trial_coordinator.LOG_WAIT_S + 2 * CALL_TIMEOUT_S
MAX_CALLED_AGENTS = 3
MAX_RELEASES = 10_000
# Returns the client of an agent's address.
Clients = typing.Callable[[str], "wire_client.Client"]


class CrashCalls:
    """Calls the owner of a prompt or the trial coordinator.

    Each is the first agent in the rank order of a key.

    Parameters
    ----------
    agents
        All agents.
    clients
        Clients of agents by address.
    holds
        The prompts that this agent owns.
    coordinator
        The trials that this agent coordinates.
    """

    def __init__(
        self,
        agents: all_agents.Agents,
        clients: Clients,
        holds: prompt_holds.PromptHolds,
        coordinator: trial_coordinator.TrialCoordinator,
    ) -> None:
        self.agents = agents
        self.clients = clients
        self.holds = holds
        self.coordinator = coordinator
        self.avoided_until: dict[str, float] = {}
        self.releases: queue.Queue[messages.Release | None] = queue.Queue(
            MAX_RELEASES
        )

    def register(self, router: server.Router) -> None:
        """Register the handlers of the other agents' messages."""
        for kind in (
            messages.Hold,
            messages.HoldCopy,
            messages.Release,
            messages.AskTrial,
            messages.Accuse,
        ):
            router.on(kind, lambda peer, message: self.handle(message))

    def handle(self, message: codec.Message) -> codec.Message:
        """Handle a message as the prompt's owner or the coordinator."""
        match message:
            case messages.Hold():
                return self.holds.hold(message)
            case messages.HoldCopy():
                return self.holds.copy(message)
            case messages.Release():
                return self.holds.release(message)
            case messages.AskTrial():
                return self.coordinator.handle(message)
            case messages.Accuse(data):
                self.coordinator.merge_items(records.decode_items(data))
        return messages.PromptNoted()

    def call_owner(
        self,
        key: str,
        message: codec.Message,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> codec.Message | None:
        """Call the first of a key's owners that replies.

        Returns
        -------
        codec.Message or None
            The reply; ``None`` if no agent replies.
        """
        for agent in self.agents.owners_of(key, MAX_CALLED_AGENTS):
            if self.avoided_until.get(agent.name, 0.0) > time.monotonic():
                continue
            if agent.name == self.agents.local_agent.name:
                return self.handle(message)
            try:
                client = self.clients(agent.address)
                return client.call(message, timeout_s)
            except connection.WireError:
                self.avoided_until[agent.name] = time.monotonic() + AVOID_S
        return None

    def hold(self, query: messages.Hold) -> messages.Holding | None:
        """Query the prompt's owner; ``None`` if there is no reply."""
        reply = self.call_owner(OWNER_KEY.format(query.fingerprint), query)
        if not isinstance(reply, messages.Holding):
            return None
        if reply.endpoint == query.endpoint and not reply.suspect:
            self.copy_own(
                messages.HoldCopy(
                    query.fingerprint, query.run, query.endpoint, reply.group
                )
            )
        return reply

    def copy_own(self, copy: messages.HoldCopy) -> None:
        """Copy a run that only this agent knows of to the next owner.

        If an agent owns the prompt that it grants, the grant and the hold
        are lost together when the agent dies.  If the endpoint dies as well,
        no other agent knows of the loss, and resends of the prompt could
        take down three endpoints.
        """
        agents = self.agents.owners_of(OWNER_KEY.format(copy.fingerprint), 2)
        if agents[0].name == self.agents.local_agent.name and len(agents) > 1:
            self.notify(agents[1], copy)

    def notify(self, agent: owners.Agent, message: codec.Message) -> None:
        """Send a message to one agent; it may be lost."""
        if self.avoided_until.get(agent.name, 0.0) > time.monotonic():
            return
        try:
            self.clients(agent.address).call(message, CALL_TIMEOUT_S)
        except connection.WireError:
            self.avoided_until[agent.name] = time.monotonic() + AVOID_S

    def send_release(self, message: messages.Release) -> None:
        """Notify the prompt's owner; if it is local, also the next owner."""
        key = OWNER_KEY.format(message.fingerprint)
        self.call_owner(key, message)
        agents = self.agents.owners_of(key, 2)
        if agents[0].name == self.agents.local_agent.name and len(agents) > 1:
            self.notify(agents[1], message)

    def release(self, message: messages.Release) -> None:
        """Notify the prompt's owner, in the background if the run finished."""
        if not message.whole:
            self.send_release(message)
            return
        # The owner drops a run whose release is lost after a timeout.
        with contextlib.suppress(queue.Full):
            self.releases.put_nowait(message)

    def request_trial(
        self, query: messages.AskTrial
    ) -> messages.TrialAnswered | None:
        """Query the trial coordinator; ``None`` if there is no reply."""
        reply = self.call_owner(
            COORDINATOR_KEY, query, query.wait_s + TRIAL_SLACK_S
        )
        return reply if isinstance(reply, messages.TrialAnswered) else None

    def report(self, items: typing.Sequence[evidence.Item]) -> None:
        """Send evidence to the trial coordinator; it may be lost."""
        self.call_owner(
            COORDINATOR_KEY, messages.Accuse(records.encode_items(items))
        )

    def start(self) -> None:
        """Start the thread that sends the releases of finished runs."""
        threading.Thread(
            target=self.send_releases, name="releases", daemon=True
        ).start()

    def stop(self) -> None:
        """Stop the thread after the releases that are queued."""
        self.releases.put(None)

    def send_releases(self) -> None:
        """Send queued releases until stopped."""
        while (message := self.releases.get()) is not None:
            self.send_release(message)
