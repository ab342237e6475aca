from __future__ import annotations

import socket

import pytest

from briarseam.timeline import clock as clocks
from briarseam.timeline import feed
from briarseam.timeline import ring as rings
from briarseam.timeline import service
from briarseam.wire import client as clients
from briarseam.wire import connection as connections
from briarseam.wire import server as servers

KEY = b"0123456789abcdef"


class Agent:
    """An agent's ring and time line behind a real wire server."""

    def __init__(self, name, others):
        self.clock = clocks.HybridClock()
        self.ring = rings.Ring(f"agent/{name}", clock=self.clock)
        self.feeds = feed.EntryFeeds()
        self.timeline = service.Timeline(self.ring, self.feeds, others)
        self.router = servers.Router()
        self.timeline.register(self.router)
        me = connections.Identity("agent", name)
        self.server = servers.Server(
            "127.0.0.1:0", me, KEY, self.router, self.clock
        )
        self.server.start()

    def client(self, name="entry"):
        me = connections.Identity("entry", name)
        return clients.Client(self.server.address, me, KEY)

    def dial(self, name):
        me = connections.Identity("entry", name)
        return clients.connect(self.server.address, me, KEY)


@pytest.fixture
def no_others():
    return service.Others(tuple, lambda name, fetch: None)


@pytest.fixture
def make_agent(no_others):
    """Start agents that stop at the end of the test."""
    made = []

    def make(name="a1", others=no_others):
        made.append(Agent(name, others))
        return made[-1]

    yield make
    for agent in made:
        agent.server.stop()


@pytest.fixture
def make_feed():
    """Start entry feeds that stop at the end of the test."""
    made = []

    def make(agent, process, wait_s=5.0):
        ring = rings.Ring(process, clock=clocks.HybridClock())
        started = feed.RingFeed(lambda: agent.dial(process), ring, wait_s)
        started.start()
        made.append(started)
        return started

    yield make
    for one in made:
        one.stop()


@pytest.fixture
def silent_address():
    """Return the address of a process that accepts and says nothing."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        yield f"{host}:{port}"
