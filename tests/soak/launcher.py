"""Runs `briarseam serve` with endpoints or peers at addresses of its own.

usage: launcher.py MAP serve --settings=FILE

MAP is a file with a JSON object of their addresses and the addresses of the
links through which this instance alone reaches them.  Stored parts of replaced
weights are kept for a shorter time, so that some are freed within a run.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import runpy
import socket
import sys

import urllib3.util.connection

from briarseam.placement import fetch_leases

MAX_LEASE_S = 5.0


def main() -> None:
    """Replace addresses of connections, and run the program."""
    links = json.loads(pathlib.Path(sys.argv.pop(1)).read_text())

    def link_of(host, port):
        linked = links.get(f"{host}:{port}")
        if linked is not None:
            host, _, port = linked.rpartition(":")
        return host, int(port)

    def through_links(connect):
        def connect_through_link(address, *options, **named):
            return connect(link_of(*address), *options, **named)

        return connect_through_link

    connect_loop = asyncio.BaseEventLoop.create_connection

    def connect_loop_through_link(loop, factory, host, port, **named):
        return connect_loop(loop, factory, *link_of(host, port), **named)

    of_urllib3 = urllib3.util.connection
    of_urllib3.create_connection = through_links(of_urllib3.create_connection)
    socket.create_connection = through_links(socket.create_connection)
    asyncio.BaseEventLoop.create_connection = connect_loop_through_link
    fetch_leases.MAX_LEASE_S = MAX_LEASE_S
    runpy.run_module("briarseam", run_name="__main__")


if __name__ == "__main__":
    main()
