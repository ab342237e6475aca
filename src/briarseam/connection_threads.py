"""A thread for each connection in work, in place of cheroot's fixed pool.

Cheroot's own pool has a fixed number of threads, so long streams beyond it
would hold up every other call.
"""

from __future__ import annotations

import queue
import threading
import time
import typing

if typing.TYPE_CHECKING:
    from cheroot import server


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
    free
        Threads that wait for a connection, less the connections that wait.
    """

    def __init__(self, owner: server.HTTPServer) -> None:
        self.server = owner
        self.min = 0
        self.lock = threading.Lock()
        self.free = 0
        self.threads: list[threading.Thread] = []
        self.waiting: queue.SimpleQueue[server.HTTPConnection | None] = (
            queue.SimpleQueue()
        )

    def start(self) -> None:
        """Start; threads come with the connections."""

    def put(self, connection: server.HTTPConnection) -> None:
        """Hand over a connection with a request to read.

        Parameters
        ----------
        connection
            The connection.
        """
        with self.lock:
            self.free -= 1
            if self.free < 0:
                thread = threading.Thread(target=self.work, daemon=True)
                self.threads.append(thread)
                thread.start()
        self.waiting.put(connection)

    def work(self) -> None:
        """Serve connections until told to end; the body of each thread."""
        while True:
            with self.lock:
                self.free += 1
            connection = self.waiting.get()
            if connection is None:
                return
            self.serve(connection)

    def serve(self, connection: server.HTTPConnection) -> None:
        """Serve one request.

        Parameters
        ----------
        connection
            The connection that it comes on.
        """
        try:
            keep = connection.communicate()  # type: ignore[no-untyped-call]
        except ConnectionError:
            keep = False
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
        deadline = time.monotonic() + timeout_s
        threads = list(self.threads)
        for _ in threads:
            self.waiting.put(None)
        for thread in threads:
            thread.join(max(0.0, deadline - time.monotonic()))
