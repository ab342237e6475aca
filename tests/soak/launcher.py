"""Runs `briarseam serve` with endpoints at addresses of its own.

usage: launcher.py MAP serve --settings=FILE

MAP is a file with a JSON object of endpoints' addresses and the addresses of
the links through which this instance alone reaches them.
"""

from __future__ import annotations

import json
import pathlib
import runpy
import sys

import urllib3.util.connection


def main() -> None:
    """Replace addresses of connections, and run the program."""
    links = json.loads(pathlib.Path(sys.argv.pop(1)).read_text())
    connect = urllib3.util.connection.create_connection

    def connect_through_link(address, *options, **named):
        host, port = address
        linked = links.get(f"{host}:{port}")
        if linked is not None:
            host, _, port = linked.rpartition(":")
        return connect((host, int(port)), *options, **named)

    urllib3.util.connection.create_connection = connect_through_link
    runpy.run_module("briarseam", run_name="__main__")


if __name__ == "__main__":
    main()
