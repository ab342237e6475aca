"""A proxy before the log that fires one fault at a named step."""

from __future__ import annotations

import dataclasses
import http.client
import http.server
import threading
import typing

CUT = "cut"
FORWARD_TIMEOUT_S = 10


@dataclasses.dataclass(frozen=True)
class Fault:
    """What happens at the n-th message of a step.

    Attributes
    ----------
    step
        Method and stream, such as ``"POST configuration"``.
    nth
        Counted from 1.
    when
        ``"before"`` the message reaches the log or ``"after"`` it took
        effect there, before its answer goes back.
    act
        Called once; ``CUT`` as its result ends the connection there.
    """

    step: str
    nth: int
    when: str
    act: typing.Callable[[], str | None]


class LogProxy:
    """Forwards HTTP to the log; ``fault`` may be set at any time."""

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.fault: Fault | None = None
        self.counts: dict[str, int] = {}
        self.fired = threading.Event()
        self.lock = threading.Lock()
        proxy = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                proxy.forward(self)

            def do_POST(self):
                proxy.forward(self)

            def log_message(self, *args):
                pass

        self.server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), Handler
        )
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_port}"

    def __enter__(self):
        threading.Thread(
            target=self.server.serve_forever, args=(0.02,), daemon=True
        ).start()
        return self

    def __exit__(self, *raised):
        self.server.shutdown()
        self.server.server_close()

    def forward(self, handler):
        """Pass one message on and its answer back, or cut it."""
        body = handler.rfile.read(int(handler.headers["Content-Length"] or 0))
        step = f"{handler.command} {handler.path.split('/')[2].split('?')[0]}"
        with self.lock:
            nth = self.counts[step] = self.counts.get(step, 0) + 1
        if self.fire(step, nth, "before") == CUT:
            handler.close_connection = True
            return
        link = http.client.HTTPConnection(
            self.upstream, timeout=FORWARD_TIMEOUT_S
        )
        link.request(handler.command, handler.path, body)
        answer = link.getresponse()
        content = answer.read()
        link.close()
        if self.fire(step, nth, "after") == CUT:
            handler.close_connection = True
            return
        handler.send_response(answer.status)
        handler.send_header("Content-Length", str(len(content)))
        handler.end_headers()
        handler.wfile.write(content)

    def fire(self, step, nth, when):
        """Carry the fault out if this is its moment."""
        fault = self.fault
        if fault is None or (fault.step, fault.nth, fault.when) != (
            step,
            nth,
            when,
        ):
            return None
        result = fault.act()
        self.fired.set()
        return result
