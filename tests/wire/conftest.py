from __future__ import annotations

import socket

import pytest
from tests.wire import sample

from briarseam.wire import client as clients
from briarseam.wire import connection as connections
from briarseam.wire import server as servers

KEY = b"0123456789abcdef"


@pytest.fixture
def key():
    return KEY


@pytest.fixture
def router():
    made = servers.Router()
    made.on(
        sample.Query,
        lambda peer, query: sample.Answer(query.text, query.count),
    )
    return made


@pytest.fixture
def start_server(router):
    """Return a function that starts servers, stopped after the test."""
    servers_started = []

    def start(listen="127.0.0.1:0", key=KEY, clock=None, prepare=None):
        identity = connections.Identity("agent", "agent-1")
        server = servers.Server(listen, identity, key, router, clock)
        if prepare:
            prepare(server)
        server.start()
        servers_started.append(server)
        return server

    yield start
    for server in servers_started:
        server.stop()


@pytest.fixture
def make_client():
    """Return a function that makes clients, closed after the test."""
    made = []

    def make(address, key=KEY, **options):
        identity = connections.Identity("entry", "entry-1")
        client = clients.Client(address, identity, key, **options)
        made.append(client)
        return client

    yield make
    for client in made:
        client.close()


@pytest.fixture
def pair():
    """Two ends of a connection: the connecting and the accepting one."""
    listener = socket.create_server(("127.0.0.1", 0))
    dialled = socket.create_connection(listener.getsockname())
    accepted, _ = listener.accept()
    listener.close()
    ends = connections.Connection(dialled), connections.Connection(accepted)
    yield ends
    for end in ends:
        end.close()
