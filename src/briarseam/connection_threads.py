"""A thread for each connection in work, in place of cheroot's fixed pool.

Cheroot's own pool has a fixed number of threads, so long streams beyond it
would hold up every other call.
"""

from __future__ import annotations

import functools
import queue
import typing

from briarseam import worker_threads

if typing.TYPE_CHECKING:
    from cheroot import server

    from briarseam.clients import connection as connection_types

# Idle threads beyond so many end at once: each takes memory.
MAX_IDLE_THREADS = 64


class ConnectionThreads:
    """One thread for each connection in work; idle threads are used again.

    Cheroot's server takes it in place of its own pool.

    Parameters
    ----------
    owner
        The server that gets connections back between requests.

    Attributes
    ----------
    min
        Threads at the start, as cheroot asks.
    """

    def __init__(self, owner: typing.Any) -> None:
        self.server = owner
        self.min = 0
        self.workers = worker_threads.WorkerThreads(
            "callers", max_idle=MAX_IDLE_THREADS
        )

    def start(self) -> None:
        """Start; threads come with the connections."""

    def put(self, connection: connection_types.Connection) -> None:
        """Hand over a connection with a request to read.

        Parameters
        ----------
        connection
            The connection.

        Raises
        ------
        queue.Full
            When there is no thread for it; cheroot answers that the server
            is overloaded, and nothing of the request was read.
        """
        try:
            self.workers.submit(functools.partial(self.serve, connection))
        except worker_threads.NoThreadError as error:
            raise queue.Full from error

    def serve(self, connection: connection_types.Connection) -> None:
        """Answer what a connection has sent and hand it back, or close it.

        Bytes of a next request may have been read with those of the first;
        whole ones are answered before the connection is handed back.

        Parameters
        ----------
        connection
            The connection, which counts as in flight.
        """
        manager = self.server.connections
        keep = False
        try:
            keep = answer_one(connection)
            while keep and manager.has_head(connection):
                manager.begin_next(connection)
                keep = answer_one(connection)
            if keep:
                self.server.put_conn(connection)
        except ValueError:
            # The server stopped meanwhile and its loop has ended.
            keep = False
        finally:
            if not keep:
                manager.drop(connection)

    def stop(self, timeout_s: float) -> None:
        """End the threads.

        Parameters
        ----------
        timeout_s
            Longest wait in seconds for all of them.
        """
        self.workers.stop(timeout_s)


def answer_one(connection: server.HTTPConnection) -> bool:
    """Answer one request; return whether its connection lives on."""
    try:
        return bool(connection.communicate())  # type: ignore[no-untyped-call]
    except ConnectionError:
        return False
