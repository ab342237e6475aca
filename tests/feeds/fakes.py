"""Fakes of a store with one topic, a cell's readers and a listener."""

from __future__ import annotations

import asyncio

import msgspec

from briarseam.feeds import records
from briarseam.feeds import sharing

TOPIC = "keyed.servers"


def record(number, value=b"x"):
    return records.KeyedRecord(f"key-{number}", value)


class FakeStore:
    """A store with one topic that counts its calls."""

    def __init__(self):
        self.records = [record(number) for number in range(3)]
        self.calls = 0
        self.refusing = False
        self.complete_until_s = records.NEVER_S

    def newest(self, topic):
        self.check()
        return records.KeyedBatch(
            tuple(self.records), len(self.records), self.complete_until_s
        )

    def read_keyed(self, topic, start, wait_s):
        self.check()
        newer = tuple(self.records[start:])
        return records.KeyedBatch(
            newer, start + len(newer), self.complete_until_s
        )

    def check(self):
        self.calls += 1
        if self.refusing:
            raise records.StoreUnavailableError("refused")


class FakeReaders:
    """The readers of a cell, which may be made silent."""

    def __init__(self):
        self.instances = {}
        self.named = ["reader"]
        self.total = sharing.MIN_SHARING_INSTANCES
        self.silent = False
        self.queries = 0

    def instance_count(self):
        return self.total

    def topic_readers(self):
        return self.named

    def read_topic(self, reader, query, timeout_s):
        self.queries += 1
        if self.silent:
            raise sharing.ReaderUnavailableError("silent")
        now = msgspec.structs.replace(query, wait_s=0.0)
        instance = self.instances[reader]
        asyncio.run(instance.await_answer(now))
        return instance.answer(now)


class FakeListener:
    """Keeps the content of a topic; counts snapshots and store losses."""

    def __init__(self):
        self.known = {}
        self.snapshots = 0
        self.losses = 0

    def apply_all(self, changes):
        self.snapshots += 1
        self.known = {}
        self.apply_changes(changes)

    def apply_changes(self, changes):
        for change in changes:
            if change.value == b"poison":
                raise ValueError("can't be applied")
            if change.value is None:
                self.known.pop(change.key, None)
            else:
                self.known[change.key] = change.value

    def store_lost(self):
        self.losses += 1
