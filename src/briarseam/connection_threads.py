"""A thread for each connection in work, in place of cheroot's fixed pool.

Cheroot's own pool has a fixed number of threads, so long streams beyond it
would hold up every other call.
"""

from __future__ import annotations

import functools
import queue
import select
import typing

from briarseam import worker_threads

if typing.TYPE_CHECKING:
    from cheroot import server

    from briarseam import inflight

MS = 1000.0


class ConnectionThreads:
    """One thread for each connection in work; idle threads are used again.

    Cheroot's server takes it in place of its own pool.

    Parameters
    ----------
    owner
        The server that gets connections back between requests.
    in_flight
        Counts requests, and keeps them out when the process ends; none if
        nobody waits for them.

    Attributes
    ----------
    min
        Threads at the start, as cheroot asks.
    """

    def __init__(
        self,
        owner: server.HTTPServer,
        in_flight: inflight.InFlight | None = None,
    ) -> None:
        self.server = owner
        self.in_flight = in_flight
        self.min = 0
        self.workers = worker_threads.WorkerThreads("callers")

    def start(self) -> None:
        """Start; threads come with the connections."""

    def put(self, connection: server.HTTPConnection) -> None:
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

    def serve(self, connection: server.HTTPConnection) -> None:
        """Serve one request, and those that came with it.

        Parameters
        ----------
        connection
            The connection that it comes on.
        """
        if self.in_flight is None:
            self.answer(connection)
            return
        idle_s = self.server.timeout
        if not has_begun(connection, idle_s) or not self.in_flight.enter():
            # Nothing of a request was read, so its caller may ask again.
            connection.close()
            return
        try:
            self.answer(connection)
        finally:
            self.in_flight.leave()

    def answer(self, connection: server.HTTPConnection) -> None:
        """Answer what a connection has sent and hand it back, or close it.

        Parameters
        ----------
        connection
            The connection.
        """
        keep = answer_one(connection)
        while keep and connection.rfile.has_data():
            # Bytes of the next request were read with this one's; handed
            # back with them it would not count until it is served.
            keep = answer_one(connection)
        if not keep:
            connection.close()
            return
        try:
            self.server.put_conn(connection)
        except ValueError:
            # The server stopped meanwhile and its selector is closed.
            connection.close()

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


def has_begun(connection: server.HTTPConnection, idle_s: float) -> bool:
    """Wait for the first byte of a request without reading it.

    Parameters
    ----------
    connection
        A new connection, or one that the server found readable.
    idle_s
        Longest wait in seconds.

    Returns
    -------
    bool
        Whether something can be read, the connection's end included.
    """
    if connection.last_used is not None:
        # It was kept, and came back since it is readable.
        return True
    poller = select.poll()
    poller.register(connection.socket, select.POLLIN)
    return bool(poller.poll(idle_s * MS))
