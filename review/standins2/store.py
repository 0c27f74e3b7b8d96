"""Stand in for the platform's metadata store: a keyed log over HTTP."""

import asyncio
import base64
import json
import struct
import time

from aiohttp import web

__all__ = ["Store"]

KEEP_ANSWERS = 5


class Topic:
    """Partition 0 of one topic, with the producers that have written to it."""

    def __init__(self):
        self.records: list[bytes] = []
        self.newest: dict[str, int] = {}
        self.epochs: dict[str, int] = {}
        self.last: dict[str, int] = {}
        self.answers: dict[str, list[tuple[int, dict]]] = {}

    def add(self, body: bytes) -> None:
        """Append one record; one without a value drops its key."""
        key = body[1 : 1 + body[0]].decode()
        if len(body) > 1 + body[0]:
            self.newest[key] = len(self.records)
        else:
            self.newest.pop(key, None)
        self.records.append(body)


class Store:
    """The store; it loses nothing that it has acknowledged."""

    def __init__(self):
        self.topics: dict[str, Topic] = {}
        self.address = ""
        self.record_bytes = 262144
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        app = web.Application(client_max_size=4 << 20)
        app.router.add_post("/v1/log-append", self._append)
        app.router.add_get("/v1/log-read", self._read)
        app.router.add_get("/v1/log-newest", self._newest)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop serving."""
        await self._runner.cleanup()

    async def put(self, topic: str, key: str, value: dict | None) -> float:
        """Write a record as the operator or a runner does; return when it is kept."""
        name = key.encode()
        data = b"" if value is None else json.dumps(value).encode()
        async with self._changed:
            self._topic(topic).add(bytes([len(name)]) + name + data)
            self._changed.notify_all()
        return time.monotonic()

    def _topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    async def _append(self, request: web.Request) -> web.Response:
        body = await request.read()
        query = request.query
        topic = self._topic(query["topic"])
        records = _split(body)
        if any(len(record) > self.record_bytes for record in records):
            return web.json_response({"reason": "size"}, status=413)
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return web.json_response({"end": end}, status=412)
        producer = query.get("producer", "")
        if producer:
            epoch, seq = int(query["epoch"]), int(query.get("seq", "0"))
            seen = topic.epochs.get(producer, -1)
            if epoch < seen:
                return web.json_response({"reason": "fenced"}, status=409)
            if epoch > seen:
                topic.epochs[producer] = epoch
                topic.last.pop(producer, None)
                topic.answers[producer] = []
            for number, answer in topic.answers[producer]:
                if number == seq:
                    return web.json_response(answer)
            last = topic.last.get(producer)
            if last is not None and seq != last + 1:
                refusal = {"reason": "seq", "seq": last + 1}
                return web.json_response(refusal, status=409)
        async with self._changed:
            for record in records:
                topic.add(record)
            answer = {"offset": end, "end": len(topic.records)}
            if producer:
                topic.last[producer] = seq
                kept = [*topic.answers[producer], (seq, answer)]
                topic.answers[producer] = kept[-KEEP_ANSWERS:]
            self._changed.notify_all()
        return web.json_response(answer)

    async def _read(self, request: web.Request) -> web.Response:
        topic = self._topic(request.query["topic"])
        source = int(request.query["source"])
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        limit = int(request.query.get("max_kb", "1024")) * 1024
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: len(topic.records) > source)
        except TimeoutError:
            pass
        parts, size = [struct.pack(">QQ", len(topic.records), 0)], 0
        for record in topic.records[source:]:
            size += 4 + len(record)
            if size > limit and len(parts) > 1:
                break
            parts += [struct.pack(">I", len(record)), record]
        return web.Response(body=b"".join(parts))

    async def _newest(self, request: web.Request) -> web.Response:
        topic = self._topic(request.query["topic"])
        after = request.query.get("depends_on", "")
        keys = sorted(key for key in topic.newest if key > after)
        items, size = [], 0
        for key in keys[:500]:
            offset = topic.newest[key]
            body = topic.records[offset]
            value = base64.b64encode(body[1 + body[0] :]).decode()
            size += len(value)
            if items and size > 1 << 20:
                break
            items.append({"key_file": key, "value": value, "offset": offset})
        more = len(items) < len(keys)
        answer = {"items": items, "more": more, "end": len(topic.records)}
        return web.json_response(answer)


def _split(body: bytes) -> list[bytes]:
    records, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        records.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return records
