"""Load of several callers that send to all instances."""

from __future__ import annotations

import concurrent.futures
import itertools
import random
import typing

import urllib3

SENDERS = 48
TIMEOUT_S = 5.0


class Load:
    """Sends requests from several threads.

    Parameters
    ----------
    nodes
        The instances.
    seed
        Draws where requests go.
    """

    def __init__(self, nodes: list, seed: int = 1) -> None:
        self.follow(nodes)
        self.random = random.Random(seed)
        self.pool = concurrent.futures.ThreadPoolExecutor(SENDERS)
        self.http = urllib3.PoolManager(
            retries=False, maxsize=SENDERS, timeout=TIMEOUT_S
        )
        self.numbers = itertools.count()
        self.sent: list = []
        self.futures: list[concurrent.futures.Future] = []

    def follow(self, nodes: list) -> None:
        """Send to these instances from now on."""
        self.addresses = [node.settings.listen.callers for node in nodes]

    def send(self, what: typing.Any) -> typing.Any:
        """Send one request, and record the status of its answer."""
        raise NotImplementedError

    def send_later(self, what: typing.Any) -> None:
        """Send a request from a thread of the pool."""
        self.futures.append(self.pool.submit(self.send, what))

    def drain(self) -> None:
        """Wait for the answers that are under way."""
        concurrent.futures.wait(self.futures)

    def close(self) -> None:
        """Wait for the answers that are under way, and send no more."""
        self.pool.shutdown()
        for future in self.futures:
            future.result()
