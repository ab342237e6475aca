"""One process of the configuration bench: an agent or the log stand-in."""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import resource
import sys
import threading
import time
import typing

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "src"))

from briarseam.backing import log as logs  # noqa: E402
from briarseam.configuration import reader as readers  # noqa: E402
from briarseam.configuration import teams as team_types  # noqa: E402
from briarseam.testing import log_service  # noqa: E402
from briarseam.wire import connection as connections  # noqa: E402
from briarseam.wire import server  # noqa: E402

KEY = b"bench shared key"
TEAM = team_types.Team("bench", (b"bench team key",), ("models", "endpoints"))
TEAMS = team_types.Teams((TEAM,))
# Standard output carries answers alone; log lines go to standard error.
ANSWERS = sys.stdout


def answer(text: str) -> None:
    """Print one answer for the parent."""
    print(text, file=ANSWERS, flush=True)


class CountingLog(logs.LogClient):
    """Counts reads and HTTP bytes, without those of TCP and IP."""

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.reads = 0
        self.bytes = 0
        request = self.pool.request

        def counted(method, url, **options):
            answer = request(method, url, **options)
            self.reads += 1
            heads = [*self.pool.headers.items(), *answer.headers.items()]
            self.bytes += len(url) + len(answer.data)
            self.bytes += sum(
                len(key) + len(value) + 4 for key, value in heads
            )
            return answer

        self.pool.request = counted  # type: ignore[method-assign]


class Worker:
    """One agent's process; ordered about by lines on standard input."""

    def __init__(self, name: str, log: str, everyone: bool) -> None:
        self.members: dict[str, str] = {}
        self.log = CountingLog(log)
        me = connections.Identity("agent", name)
        self.reader = readers.ConfigurationReader(
            self.log,
            TEAMS,
            me,
            KEY,
            lambda: self.members,
            options=readers.Options(all_agents_read=everyone),
        )
        router = server.Router()
        self.reader.register(router)
        self.server = server.Server("127.0.0.1:0", me, KEY, router)
        self.in_force: list[tuple[int, float]] = []
        self.reverts = 0

    def watch(self) -> None:
        """Note when each offset came into force here."""
        tree = self.reader.tree
        last = 0
        while True:
            with tree.changed:
                while tree.view.offset == last:
                    tree.changed.wait()
                now = time.monotonic()
                offset = tree.view.offset
            self.reverts += offset < last
            self.in_force += [
                (each, now) for each in range(last + 1, offset + 1)
            ]
            last = offset

    def run(self) -> None:
        """Serve until told to end."""
        self.server.start()
        answer(self.server.address)
        for line in sys.stdin:
            order = json.loads(line)
            match order["do"]:
                case "members":
                    self.members = order["members"]
                case "start":
                    threading.Thread(target=self.watch, daemon=True).start()
                    self.reader.start()
                case "report":
                    answer(json.dumps(self.report()))
                case "end":
                    os._exit(0)

    def report(self) -> dict[str, typing.Any]:
        """Return what was counted since the start."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        pool = self.reader.peers.pool.values()
        rss = pathlib.Path("/proc/self/statm").read_text().split()[1]
        return {
            "at": time.monotonic(),
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "rss_mb": int(rss) * resource.getpagesize() / 1e6,
            "log_reads": self.log.reads,
            "log_bytes": self.log.bytes,
            "peer_bytes": sum(c.bytes_sent + c.bytes_received for c in pool),
            "peer_reads": self.reader.counters.peer_reads,
            "reader_rank": self.reader.reader_rank(),
            "reverts": self.reverts,
            "in_force": self.in_force,
            "offset": self.reader.offset(),
        }


def serve_log() -> None:
    """Run the log; a line "1" begins an outage, "0" ends it."""
    log = log_service.LogService().start()
    answer(log.address)
    for line in sys.stdin:
        log.set(outage=line.strip() == "1")


def main() -> None:
    """Run as what the options say."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--agent")
    parser.add_argument("--log")
    parser.add_argument("--everyone", action="store_true")
    args = parser.parse_args()
    sys.stdout = sys.stderr
    if args.agent:
        Worker(args.agent, args.log, args.everyone).run()
    else:
        serve_log()


if __name__ == "__main__":
    main()
