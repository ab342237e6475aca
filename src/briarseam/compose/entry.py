"""Wiring of the entry daemon."""

from __future__ import annotations

import dataclasses
import secrets
import threading
import typing

from briarseam import inflight
from briarseam.answers import keeping
from briarseam.compose import agent as compose_agent
from briarseam.compose import client_budget
from briarseam.compose import timeline as compose_timeline
from briarseam.endpoints import engine
from briarseam.endpoints import service
from briarseam.entry import agent_link
from briarseam.entry import app
from briarseam.entry import operators
from briarseam.entry import reports as report_queue
from briarseam.entry import server as http
from briarseam.membership import drain
from briarseam.membership import presence
from briarseam.metrics import registry as metrics
from briarseam.timeline import requests
from briarseam.wire import client as wire
from briarseam.wire import connection

if typing.TYPE_CHECKING:
    import cheroot.wsgi

    from briarseam import settings as settings_module
    from briarseam.timeline import feed
    from briarseam.timeline import ring as rings

MAX_AGENT_CONNECTIONS = 64
MS = 1000.0
REPORTS_FLUSH_TIMEOUT_S = 2.0
START_ID_BYTES = 4


@dataclasses.dataclass(frozen=True)
class EntryDaemon:
    """The parts of an entry."""

    server: cheroot.wsgi.Server
    parts: app.EntryDependencies
    agent_client: wire.Client
    reports: report_queue.ReportQueue
    ring: rings.Ring
    events: feed.RingFeed
    presence: presence.Presence
    stop_bound_s: float

    def start(self) -> str:
        """Bind the socket, start serving, and return the address."""
        self.reports.start()
        self.events.start()
        self.server.prepare()
        thread = threading.Thread(
            target=self.server.serve, name="http", daemon=True
        )
        thread.start()
        self.presence.start()
        host, port = self.server.bind_addr[:2]
        return f"{host}:{port}"

    def drain(self, interrupted: typing.Callable[[], bool]) -> drain.Outcome:
        """Withdraw from the lookups and wait until nothing is in flight.

        Parameters
        ----------
        interrupted
            Whether to stop waiting now.
        """
        self.parts.in_flight.move_to(inflight.Stage.LEAVING)
        return drain.Drain(
            announce=self.presence.leave,
            published=self.presence.leaving_published,
            in_flight=lambda: self.parts.in_flight.count,
            settle=self.parts.in_flight.refuse_if_idle,
            linger_s=lambda: self.presence.linger_s,
            bound_s=self.stop_bound_s,
            interrupted=interrupted,
        ).run()

    def stop(self) -> None:
        """Stop serving; report the entry as gone after its last reports."""
        self.server.stop()
        self.reports.stop(REPORTS_FLUSH_TIMEOUT_S)
        self.presence.close()
        self.events.stop()
        self.agent_client.close()


def public_address(settings: settings_module.Settings) -> str:
    """Return the address at which callers reach this entry process.

    The entry processes of an instance share all settings except the address
    to listen on; its port selects this process's public address.
    """
    listen = settings.entry.listen
    for address in settings.instance.entry_addresses:
        if address.port == listen.port:
            return str(address)
    return str(listen)


def build_entry(settings: settings_module.Settings) -> EntryDaemon:
    """Return an entry whose socket is not bound yet."""
    # The name is unique for each start of an entry process: when all
    # connections under a name have ended, the agent counts the runs of that
    # process as lost.
    start_id = secrets.token_hex(START_ID_BYTES)
    identity = connection.Identity(
        "entry", f"{settings.instance.name}/{start_id}"
    )
    key = compose_agent.shared_key(settings)
    ring = compose_timeline.build_ring(settings, identity)
    client = wire.Client(
        str(settings.entry.agent),
        identity,
        key,
        MAX_AGENT_CONNECTIONS,
        ring.clock,
        requests.EntryObserver(ring),
    )
    registry = metrics.Registry(settings.limits.max_metric_label_values)
    compose_timeline.register_metrics(ring, registry)
    teams = {team.name: team.key.value for team in settings.teams}
    reports = report_queue.ReportQueue(
        client, settings.claims.max_response_bytes
    )
    link = agent_link.AgentLink(client, reports)
    engines = engine.EngineClient(settings.entry.engine_silence_ms / MS)
    parts = app.EntryDependencies(
        agent=link,
        engines=engines,
        run_keeper=keeping.RunKeeper(
            settings.entry.resume_grace_s, link, engines
        ),
        services=service.ServiceClient(),
        in_flight=inflight.InFlight(),
        teams=operators.Operators(teams),
        render_metrics=registry.render,
        max_body_bytes=settings.entry.max_body_bytes,
    )
    budget = client_budget.of_entry(settings)
    client_budget.register(registry, budget)
    server = http.build_server(
        (settings.entry.listen.ip, settings.entry.listen.port),
        app.build_application(parts),
        settings.entry.threads,
        budget,
    )
    server.max_held_body_bytes = settings.entry.max_body_bytes
    events = compose_timeline.build_ring_feed(
        str(settings.entry.agent), identity, key, ring
    )
    return EntryDaemon(
        server=server,
        parts=parts,
        agent_client=client,
        reports=reports,
        ring=ring,
        events=events,
        presence=presence.Presence(client, public_address(settings)),
        stop_bound_s=settings.limits.stop_bound_s,
    )
