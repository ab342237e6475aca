"""Client for the platform's metadata store."""

from __future__ import annotations

import base64
import functools
import threading
import urllib.parse

import msgspec
import structlog
import urllib3

from briarseam import bounded_http
from briarseam import clocks
from briarseam import malformed
from briarseam import sockets
from briarseam.feeds import records
from briarseam.platform import decoding
from briarseam.platform import framing
from briarseam.platform import names
from briarseam.platform import store_answers

MS = 1000.0
# Calls are answered within a few ms; a store under load takes 50 ms.  The
# timeout leaves time for another try.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.8
# Response time that is allowed beyond the wait of a long poll: a store that
# is slowed down sixtyfold answers within 0.25 s.
POLL_SLACK_S = 0.8
MAX_CONNECTIONS = 8
OK = 200
GONE = 410
CONFLICT = 409
PRECONDITION_FAILED = 412
# The platform defines these statuses as "nothing was done".
NOT_EXECUTED_STATUSES = frozenset({429, 503, 507})
MAX_PAGES = 1000
# Of all pages of a topic.
MAX_TOPIC_BYTES = 64 * 1024 * 1024
# Positions are combined with the era, and told to peers in 64 bits.
MAX_ERA = 1 << 22
# An era that no answer has named for so long, while others named an earlier
# one, was never in force.  No call takes as long.
ERA_DISPROVED_S = 10.0
log = structlog.get_logger("briarseam.platform")


class StoreClient:
    """Client for the platform's metadata store; thread-safe.

    The retries of the HTTP library are disabled: a write whose answer was
    lost may have taken effect, and only its writer can decide what to do.

    All offsets and generations include the store's era, see
    :func:`briarseam.feeds.records.in_era`.

    Parameters
    ----------
    address
        ``ip:port``.
    tally
        Records malformed records.

    Attributes
    ----------
    calls
        Number of calls since the start.
    latest_era
        Latest era in an answer; ``None`` before the first one.
    """

    def __init__(
        self, address: str, tally: malformed.Tally | None = None
    ) -> None:
        self.tally = tally or malformed.Tally()
        self.calls = 0
        self.latest_era: int | None = None
        # Since when answers have named an earlier era, by the boot clock.
        self.earlier_since_s: float | None = None
        self.lock = threading.Lock()
        self.move_to(address)

    def move_to(self, address: str) -> None:
        """Use another address for all further calls."""
        host, _, port = address.rpartition(":")
        self.address = address
        self.pool = bounded_http.ConnectionPool(
            host,
            int(port),
            maxsize=MAX_CONNECTIONS,
            retries=False,
            socket_options=sockets.OPTIONS,
        )

    def newest(self, topic: str) -> records.KeyedBatch:
        """Return the newest record of each key of a topic.

        The pages are not a consistent snapshot.  The returned position is
        therefore the end of the topic at the first page: changes between
        pages are read again.

        Raises
        ------
        StoreUnavailableError
            If the store gives no valid answer.
        """
        found: list[records.KeyedRecord] = []
        asked_s = clocks.boot_clock()
        start: int | None = None
        after = ""
        passed = {after}
        size = 0
        for _page in range(MAX_PAGES):
            query = {"topic": topic, "part": "0"}
            if after:
                query["after"] = after
            response = self.call("GET", names.NEWEST_PATH, query)
            page = self.decode_body(response, store_answers.Newest)
            end = records.in_era(self.era_of(response), page.end)
            start = end if start is None else start
            if records.era_of(end) != records.era_of(start):
                raise records.StoreUnavailableError(
                    f"store was restored between two pages of {topic}"
                )
            size += len(response.data)
            if size > MAX_TOPIC_BYTES:
                raise records.StoreUnavailableError(
                    f"{topic} has more than {MAX_TOPIC_BYTES} bytes"
                )
            readable = self.decode_page(topic, page)
            found += readable
            # The next page begins after the last valid record, or after the
            # last key if there is none.  A page without a new key ends the
            # read: it would be repeated endlessly.
            last = readable[-1].key if readable else last_key(page)
            if not page.has_more or last is None or last in passed:
                break
            after = last
            passed.add(after)
        return records.KeyedBatch(tuple(found), start or 0, asked_s)

    def decode_page(
        self, topic: str, page: store_answers.Newest
    ) -> list[records.KeyedRecord]:
        """Return the valid records of a page."""
        record_malformed = functools.partial(
            self.tally.note, malformed.Kind.STORE_RECORD, topic
        )
        found: list[records.KeyedRecord] = []
        for item in decoding.decode_rows(
            page.items, store_answers.Item, record_malformed
        ):
            try:
                with malformed.raised_as_malformed():
                    value = base64.b64decode(item.value, validate=True)
            except malformed.MalformedError as error:
                self.tally.note(
                    malformed.Kind.STORE_RECORD, f"{topic}/{item.key}", error
                )
                continue
            found.append(records.KeyedRecord(item.key, value or None))
        return found

    def read_keyed(
        self, topic: str, start: int, wait_s: float
    ) -> records.KeyedBatch:
        """Return the changes of a keyed topic from an offset on.

        Parameters
        ----------
        topic
            A keyed topic.
        start
            First offset to read, with its era.
        wait_s
            Maximum wait for the first record, in seconds.

        Raises
        ------
        RecordsExpiredError
            If records from that offset on are no longer retained.
        StoreRestoredError
            If the offset belongs to another era.
        StoreUnavailableError
            If the store gives no valid answer.
        """
        query = {
            "topic": topic,
            "part": "0",
            "from": str(records.number_of(start)),
            "waitMs": str(int(wait_s * MS)),
        }
        asked_s = clocks.boot_clock()
        response = self.call(
            "GET",
            names.READ_PATH,
            query,
            timeout_s=wait_s + POLL_SLACK_S,
            accepted=(OK, GONE),
        )
        era = self.era_of(response)
        if era != records.era_of(start):
            raise records.StoreRestoredError(
                f"position in {topic} is of era {records.era_of(start)}, "
                f"but the store is in era {era}"
            )
        if response.status == GONE:
            raise records.RecordsExpiredError(f"{topic} from {start}")
        try:
            split = framing.split_records(response.data)
        except decoding.MalformedError as error:
            raise records.StoreUnavailableError(
                f"malformed answer: {error}"
            ) from error
        found = tuple(self.decode_record(topic, data) for data in split)
        following = start + len(found)
        if records.number_of(following) < framing.end_of(response.data):
            return records.KeyedBatch(found, following)
        # The store waits for the first record, but may answer early.
        waited = not found and clocks.boot_clock() - asked_s >= wait_s
        complete_until_s = asked_s + (wait_s if waited else 0.0)
        return records.KeyedBatch(found, following, complete_until_s)

    def decode_record(self, topic: str, data: bytes) -> records.KeyedRecord:
        """Return a record; ``records.UNREADABLE`` if it is malformed."""
        try:
            return framing.decode_keyed(data)
        except decoding.MalformedError as error:
            self.tally.note(malformed.Kind.STORE_RECORD, topic, error)
            return records.UNREADABLE

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Write the newest record of a key; ``None`` removes the key.

        Raises
        ------
        StoreUnavailableError
            If the store does not confirm the write.
        """
        self.append(topic, (framing.encode_keyed(key, value),))

    def append(
        self, topic: str, items: tuple[bytes, ...], at: int | None = None
    ) -> int:
        """Append records and return the offset of the first.

        Parameters
        ----------
        topic
            The topic.
        items
            Records, appended atomically.
        at
            If given, append only if the partition ends at this offset, which
            includes its era.

        Raises
        ------
        SupersededError
            If the partition ends elsewhere.  Also if the offset turns out
            to be of another era; the records may have been appended then.
        StoreUnavailableError
            If the store does not confirm the write.
        """
        query = {"topic": topic, "part": "0"}
        if at is not None:
            query["at"] = str(records.number_of(at))
        body = framing.join_records(items)
        response = self.call(
            "POST",
            names.APPEND_PATH,
            query,
            body=body,
            accepted=(OK, PRECONDITION_FAILED),
        )
        if response.status == PRECONDITION_FAILED:
            raise records.SupersededError(f"{topic} does not end at {at}")
        if at is not None and self.era_of(response) != records.era_of(at):
            raise records.SupersededError(
                f"store was restored after the end of {topic} was read"
            )
        return self.decode_body(response, store_answers.Appended).offset

    def join(
        self,
        group: str,
        member: str,
        topic: str,
        ttl_s: float,
        generation: int,
    ) -> records.GroupShare:
        """Join a group or renew the membership; return the assigned share.

        A generation of an earlier era is sent as 0, since the store does not
        know it.

        Raises
        ------
        StoreUnavailableError
            If the store gives no valid answer.
        """
        body = msgspec.json.encode(
            {
                "group": group,
                "member": member,
                "topics": [topic],
                "ttlMs": int(ttl_s * MS),
                "generation": records.number_of(generation)
                if records.era_of(generation) == self.era
                else 0,
            }
        )
        response = self.call("POST", names.JOIN_PATH, {}, body=body)
        share = self.decode_body(response, store_answers.Share)
        return records.GroupShare(
            records.in_era(self.era_of(response), share.generation),
            frozenset((name, part) for name, part, _offset in share.parts),
        )

    def leave(self, group: str, member: str) -> None:
        """Leave a group.

        Raises
        ------
        StoreUnavailableError
            If the store gives no valid answer.
        """
        body = msgspec.json.encode({"group": group, "member": member})
        self.call(
            "POST", names.LEAVE_PATH, {}, body=body, accepted=(OK, 204, 404)
        )

    def call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        *,
        body: bytes | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        accepted: tuple[int, ...] = (OK,),
    ) -> urllib3.BaseHTTPResponse:
        """Make one call and return its response if the status is accepted."""
        self.calls += 1
        url = f"{path}?{urllib.parse.urlencode(query)}" if query else path
        headers = {"Content-Type": "application/json"} if body else {}
        # A store that sends its answer slowly must not block the caller longer
        # than one that does not answer.
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
        )
        try:
            response = self.pool.urlopen(
                method, url, body=body, headers=headers, timeout=timeout
            )
        except urllib3.exceptions.NewConnectionError as error:
            raise records.StoreUnavailableError(str(error)) from error
        except urllib3.exceptions.HTTPError as error:
            raise records.StoreUnavailableError(
                f"{type(error).__name__}: {error}", may_have_run=True
            ) from error
        era = response_era(response)
        if era is not None:
            self.record_era(era)
        elif names.STORE_ERA in response.headers:
            self.tally.note(
                malformed.Kind.STORE_RECORD, names.STORE_ERA, "not an era"
            )
        if response.status in accepted:
            return response
        raise records.StoreUnavailableError(
            f"{path} answered {response.status}",
            may_have_run=response.status not in NOT_EXECUTED_STATUSES,
        )

    @property
    def era(self) -> int:
        """Latest era in an answer; 0 before the first one."""
        return self.latest_era or 0

    def era_of(self, response: urllib3.BaseHTTPResponse) -> int:
        """Return the era of an answer; the latest one if it has none."""
        era = response_era(response)
        return self.era if era is None else era

    def record_era(self, era: int) -> None:
        """Record the era of an answer.

        Raises
        ------
        StoreUnavailableError
            If the answer is from before the store was restored.
        """
        with self.lock:
            previous = self.latest_era
            if self.is_era_disproved(era):
                previous = None
                self.latest_era = era
                log.warning("store_era_corrected", era=era)
            else:
                self.latest_era = max(era, self.era)
        if previous is None or era == previous:
            return
        if era < previous:
            raise records.StoreUnavailableError(
                f"answer of era {era} received in era {previous}",
                may_have_run=True,
            )
        log.warning("store_restored", era=era, former_era=previous)

    def is_era_disproved(self, era: int) -> bool:
        """Return whether an answer disproves the latest era.

        Guard: one odd header would make this instance reject all further
        answers.  Requires the lock.
        """
        if era >= self.era:
            self.earlier_since_s = None
            return False
        now_s = clocks.boot_clock()
        if self.earlier_since_s is None:
            self.earlier_since_s = now_s
        if now_s - self.earlier_since_s < ERA_DISPROVED_S:
            return False
        self.earlier_since_s = None
        return True

    def decode_body(
        self,
        response: urllib3.BaseHTTPResponse,
        kind: type[decoding.Decoded],
    ) -> decoding.Decoded:
        """Decode a response's body into a wire structure."""
        try:
            return decoding.decode(response.data, kind)
        except decoding.MalformedError as error:
            raise records.StoreUnavailableError(
                f"malformed answer: {error}", may_have_run=True
            ) from error


def last_key(page: store_answers.Newest) -> str | None:
    """Return the last key of a page, also if its value is malformed."""
    for row in reversed(page.items):
        try:
            return decoding.decode(bytes(row), store_answers.ItemKey).key
        except decoding.MalformedError:
            continue
    return None


def response_era(response: urllib3.BaseHTTPResponse) -> int | None:
    """Return the era in an answer; ``None`` if it has no valid one."""
    era = decoding.header_integer(response.headers.get(names.STORE_ERA))
    return era if era is not None and era <= MAX_ERA else None
