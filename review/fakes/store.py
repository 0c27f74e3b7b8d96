"""Stand in for the platform's store: a log of keyed topics with one partition each."""

import asyncio
import base64
import json
import struct

from aiohttp import web

__all__ = ["Store"]

MAX_NEWEST = 500
ANSWER_S = 0.004
ANSWERS_KEPT = 5


class _Topic:
    """Records of one partition, its producers and the newest offset of each key."""

    def __init__(self):
        self.records: list[bytes] = []
        self.producers: dict[str, dict] = {}
        self.newest: dict[str, int] = {}

    def add(self, record: bytes) -> None:
        key = record[1 : 1 + record[0]].decode()
        if record[1 + record[0] :]:
            self.newest[key] = len(self.records)
        else:
            self.newest.pop(key, None)
        self.records.append(record)


class Store:
    """Store on a loopback address; answers take ``ANSWER_S``."""

    def __init__(self):
        self.address = ""
        self._topics: dict[str, _Topic] = {}
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        app = web.Application(client_max_size=4 * 1024 * 1024)
        app.router.add_post("/v1/log-append", self._append)
        app.router.add_get("/v1/log-read", self._read)
        app.router.add_get("/v1/log-newest", self._list_newest)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def put(self, topic: str, key: str, value: dict | None) -> None:
        """Write an entry as the operator or a worker does; None removes it."""
        name = key.encode()
        body = b"" if value is None else json.dumps(value).encode()
        async with self._changed:
            self._get(topic).add(bytes([len(name)]) + name + body)
            self._changed.notify_all()

    def _get(self, topic: str) -> _Topic:
        return self._topics.setdefault(topic, _Topic())

    async def _append(self, request: web.Request) -> web.Response:
        body = await request.read()
        await asyncio.sleep(ANSWER_S)
        topic, query = self._get(request.query["topic"]), request.query
        if "at" in query and int(query["at"]) != len(topic.records):
            return web.json_response({"end": len(topic.records)}, status=412)
        producer, seq = None, 0
        if "producer" in query:
            epoch, seq = int(query["epoch"]), int(query["seq"])
            producer = topic.producers.get(query["producer"])
            if producer is not None and epoch < producer["epoch"]:
                return web.json_response({"reason": "fenced"}, status=409)
            if producer is None or epoch > producer["epoch"]:
                producer = {"epoch": epoch, "seq": None, "answers": {}}
                topic.producers[query["producer"]] = producer
            if seq in producer["answers"]:
                return web.json_response(producer["answers"][seq])
            last = producer["seq"]
            if body and last is not None and seq != last + 1:
                refusal = {"reason": "seq", "seq": last + 1}
                return web.json_response(refusal, status=409)
        async with self._changed:
            answer = {"offset": len(topic.records)}
            for record in _split(body):
                topic.add(record)
            answer["end"] = len(topic.records)
            if producer is not None and body:
                producer["seq"] = seq
                producer["answers"][seq] = answer
                producer["answers"].pop(seq - ANSWERS_KEPT, None)
            self._changed.notify_all()
        return web.json_response(answer)

    async def _read(self, request: web.Request) -> web.Response:
        await asyncio.sleep(ANSWER_S)
        topic = self._get(request.query["topic"])
        source = int(request.query["source"])
        max_bytes = 1024 * int(request.query.get("max_kb", "1024"))
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: len(topic.records) > source)
        except TimeoutError:
            pass
        parts = [struct.pack(">QQ", len(topic.records), 0)]
        size = 0
        for record in topic.records[source:]:
            if size and size + len(record) > max_bytes:
                break
            size += len(record)
            parts.append(struct.pack(">I", len(record)) + record)
        return web.Response(body=b"".join(parts))

    async def _list_newest(self, request: web.Request) -> web.Response:
        await asyncio.sleep(ANSWER_S)
        topic = self._get(request.query["topic"])
        after = request.query.get("depends_on", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = []
        for key in keys[:MAX_NEWEST]:
            record = topic.records[topic.newest[key]]
            value = base64.b64encode(record[1 + record[0] :]).decode()
            items.append({"key_file": key, "value": value, "offset": topic.newest[key]})
        answer = {
            "items": items,
            "more": len(keys) > MAX_NEWEST,
            "end": len(topic.records),
        }
        return web.json_response(answer)


def _split(body: bytes) -> list[bytes]:
    records, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        records.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return records
