"""Simulate the platform's log as its page describes it, with sound behaviour only."""

import asyncio
import base64
import json
import struct

from aiohttp import web

__all__ = ["Store"]

RECORD_BYTES = 262144
CALL_BYTES = 2097152
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
APPEND_S = 0.001
KEPT_ANSWERS = 5


class _Topic:
    """The only partition of a keyed topic."""

    def __init__(self):
        self.records: list[bytes] = []
        self.newest: dict[str, int] = {}
        self.epochs: dict[str, int] = {}
        self.answers: dict[str, dict[int, dict]] = {}
        self.sequences: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.turn = asyncio.Lock()

    def add(self, record: bytes) -> None:
        key, value = split_record(record)
        if value:
            self.newest[key] = len(self.records)
        else:
            self.newest.pop(key, None)
        self.records.append(record)

    def wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """Log server on a free loopback port; keeps all history of a short test.

    ``refused`` lists the appends that were refused because a record was longer than
    the limit that the settings of every process name.
    """

    def __init__(self):
        self.address = ""
        self.refused: list[dict] = []
        self._topics: dict[str, _Topic] = {}
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        app = web.Application(client_max_size=2 * CALL_BYTES)
        app.add_routes(
            [
                web.post("/v1/log-append", self._append),
                web.get("/v1/log-read", self._read),
                web.get("/v1/log-newest", self._list_newest),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop serving."""
        await self._runner.cleanup()

    def put(self, topic: str, key: str, value: dict | None) -> None:
        """Write a record as an operator or a runner does; None removes the key."""
        name = key.encode()
        body = json.dumps(value).encode() if value is not None else b""
        found = self._get(topic)
        found.add(bytes([len(name)]) + name + body)
        found.wake()

    def _get(self, topic: str) -> _Topic:
        return self._topics.setdefault(topic, _Topic())

    async def _append(self, request: web.Request) -> web.Response:
        body = await request.read()
        query = request.query
        topic = self._get(query["topic"])
        records = list(split_call(body))
        longest = max((len(record) for record in records), default=0)
        if longest > RECORD_BYTES or len(body) > CALL_BYTES:
            self.refused.append({"topic": query["topic"], "longest_record": longest})
            return web.json_response({"reason": "size"}, status=400)
        async with topic.turn:
            await asyncio.sleep(APPEND_S)
            if "at" in query and int(query["at"]) != len(topic.records):
                return web.json_response({"end": len(topic.records)}, status=412)
            if "producer" in query:
                return self._append_as_producer(topic, query, records)
            return web.json_response(_add_all(topic, records))

    def _append_as_producer(
        self, topic: _Topic, query, records: list[bytes]
    ) -> web.Response:
        producer, epoch = query["producer"], int(query["epoch"])
        sequence = int(query["seq"])
        known = topic.epochs.get(producer, -1)
        if epoch < known:
            return web.json_response({"reason": "fenced"}, status=409)
        if epoch > known:
            topic.epochs[producer] = epoch
            topic.answers[producer] = {}
            topic.sequences.pop(producer, None)
        answers = topic.answers[producer]
        if sequence in answers:
            return web.json_response(answers[sequence])
        last = topic.sequences.get(producer)
        if last is not None and sequence != last + 1:
            refusal = {"reason": "seq", "wanted": last + 1}
            return web.json_response(refusal, status=409)
        topic.sequences[producer] = sequence
        answer = answers[sequence] = _add_all(topic, records)
        while len(answers) > KEPT_ANSWERS:
            del answers[min(answers)]
        return web.json_response(answer)

    async def _read(self, request: web.Request) -> web.Response:
        query = request.query
        topic = self._get(query["topic"])
        source = int(query["source"])
        if source >= len(topic.records) and int(query.get("wait_ms", 0)):
            try:
                async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                    await topic.changed.wait()
            except TimeoutError:
                pass
        limit = int(query.get("max_kb", 1024)) * 1024
        parts = [struct.pack(">QQ", len(topic.records), 0)]
        size = 0
        for record in topic.records[source:]:
            size += len(record) + 4
            if size > limit and len(parts) > 1:
                break
            parts += [struct.pack(">I", len(record)), record]
        return web.Response(body=b"".join(parts))

    async def _list_newest(self, request: web.Request) -> web.Response:
        topic = self._get(request.query["topic"])
        after = request.query.get("depends_on", "")
        keys = sorted(key for key in topic.newest if key > after)
        items, size = [], 0
        for key in keys:
            offset = topic.newest[key]
            _, value = split_record(topic.records[offset])
            size += len(value)
            if items and (len(items) == PAGE_ITEMS or size > PAGE_BYTES):
                break
            text = base64.b64encode(value).decode()
            items.append({"key_file": key, "value": text, "offset": offset})
        more = len(items) < len(keys)
        end = len(topic.records)
        return web.json_response({"items": items, "more": more, "end": end})


def split_call(body: bytes):
    """Yield the records of an append."""
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        yield body[position + 4 : position + 4 + length]
        position += 4 + length


def split_record(record: bytes) -> tuple[str, bytes]:
    """Return the key and the value of a record."""
    length = record[0]
    return record[1 : 1 + length].decode(), record[1 + length :]


def _add_all(topic: _Topic, records: list[bytes]) -> dict:
    offset = len(topic.records)
    for record in records:
        topic.add(record)
    if records:
        topic.wake()
    return {"offset": offset, "end": len(topic.records)}
