"""Exchange gossip and log entries with the other instances over pynng."""

import asyncio
import logging
import random
from collections.abc import Callable

import msgspec
import pynng

from larkhoist.daemon.list_poller import ListPoller
from larkhoist.daemon.logs import log_event
from larkhoist.daemon.state_keeper import StateKeeper
from larkhoist.daemon.tasks import cancel_tasks
from larkhoist.membership.peers import (
    ExplainReply,
    ExplainRequest,
    Gossip,
    ListReply,
    ListRequest,
    PeerMessage,
    PeerTable,
    TailReply,
    TailRequest,
    decode_message,
    encode_message,
)

__all__ = ["PeerLink", "KEEPALIVE_ROUNDS"]

_logger = logging.getLogger(__name__)
REPLY_TIMEOUT_S = 0.5
SERVER_TASKS = 4
TAIL_LIMIT = 500
MAX_PEERS_FOR_DISCOVERY = 64
KEEPALIVE_ROUNDS = 4
RECEIVE_MAX_BYTES = 256 * 1024 * 1024
REMOTE_PEERS_PER_ROUND = 2


class PeerLink:
    """Sockets to and from the peers, and the periodic gossip rounds.

    Each round contacts every peer of the hall and a few peers of other halls, so
    that the cost per instance does not grow with the number of halls.
    """

    def __init__(
        self,
        listen_url: str,
        hall: str,
        table: PeerTable,
        keeper: StateKeeper,
        list_poller: ListPoller,
        make_gossip: Callable[[], Gossip],
        explain: Callable[[str], str],
        interval_s: float,
    ):
        self._listen_url = listen_url
        self._hall = hall
        self._table = table
        self._keeper = keeper
        self._list_poller = list_poller
        self._make_gossip = make_gossip
        self._explain = explain
        self._interval_s = interval_s
        self._server: pynng.Rep0 | None = None
        self._sockets: dict[str, pynng.Req0] = {}
        self._halls: dict[str, str] = {}
        self._pending_addresses: set[str] = set()
        self._tasks: list[asyncio.Task] = []
        self._gossip_tasks: set[asyncio.Task] = set()
        self._random = random.Random()

    async def start(self) -> None:
        """Listen and start the gossip rounds."""
        self._server = pynng.Rep0(recv_max_size=RECEIVE_MAX_BYTES)
        self._server.listen(self._listen_url)
        self._tasks = [asyncio.create_task(self._serve()) for _ in range(SERVER_TASKS)]
        self._tasks.append(asyncio.create_task(self._run_rounds()))

    async def close(self) -> None:
        """Stop the rounds and close every socket."""
        await cancel_tasks([*self._tasks, *self._gossip_tasks])
        for socket in self._sockets.values():
            socket.close()
        if self._server is not None:
            self._server.close()

    def set_peers(self, peers: dict[str, str]) -> None:
        """Replace the peers by ``peers``, which maps each ``IP:port`` to its hall."""
        for address in self._sockets.keys() - peers.keys():
            self._sockets.pop(address).close()
        for address in peers.keys() - self._sockets.keys():
            self._dial(address)
        self._halls = dict(peers)

    def _dial(self, address: str) -> None:
        socket = pynng.Req0(recv_max_size=RECEIVE_MAX_BYTES, resend_time=-1)
        socket.dial(f"tcp://{address}", block=False)
        self._sockets[address] = socket

    async def fetch_tail(self, from_offset: int) -> TailReply | None:
        """Return newer log entries or a newer state from a peer, or None."""
        for address in list(self._sockets):
            answer = await self._ask(address, TailRequest(from_offset))
            match answer:
                case TailReply(entries, state) if entries or state:
                    return answer
        return None

    async def ask_owner(self, hall: str, job_id: str) -> str:
        """Return the hall owner's explanation of a job, empty if none answers."""
        owner = self._table.find_owner(hall, asyncio.get_running_loop().time())
        if owner is None:
            return ""
        match await self._ask(owner.address, ExplainRequest(job_id)):
            case ExplainReply(text):
                return text
            case _:
                return ""

    async def _run_rounds(self) -> None:
        last_gossip: Gossip | None = None
        unchanged_rounds = 0
        while True:
            gossip = self._make_gossip()
            unchanged_rounds = unchanged_rounds + 1 if gossip == last_gossip else 0
            last_gossip = gossip
            # While the gossip is unchanged, an occasional round serves as keepalive.
            if unchanged_rounds % KEEPALIVE_ROUNDS == 0:
                self._begin_round()
            await asyncio.sleep(self._interval_s)

    def _begin_round(self) -> None:
        for address in self._choose_addresses():
            if address not in self._pending_addresses:
                call = asyncio.create_task(self._gossip_with(address))
                self._gossip_tasks.add(call)
                call.add_done_callback(self._gossip_tasks.discard)

    def _choose_addresses(self) -> list[str]:
        same_hall = [a for a, hall in self._halls.items() if hall == self._hall]
        other_halls = [a for a, hall in self._halls.items() if hall != self._hall]
        count = min(len(other_halls), REMOTE_PEERS_PER_ROUND)
        return same_hall + self._random.sample(other_halls, count)

    async def _gossip_with(self, address: str) -> None:
        self._pending_addresses.add(address)
        try:
            answer = await self._ask(address, self._make_gossip())
            if isinstance(answer, Gossip):
                self._handle_gossip(answer)
                await self._fetch_list(address, answer.list_version)
        finally:
            self._pending_addresses.discard(address)

    async def _fetch_list(self, address: str, version: int) -> None:
        if version <= self._list_poller.listed.version:
            return
        match await self._ask(address, ListRequest()):
            case ListReply(listed):
                self._list_poller.take(listed)

    async def _ask(self, address: str, message: PeerMessage) -> PeerMessage | None:
        socket = self._sockets.get(address)
        if socket is None:
            return None
        try:
            with socket.new_context() as context:
                exchange = self._exchange(context, encode_message(message))
                return await asyncio.wait_for(exchange, REPLY_TIMEOUT_S)
        except (pynng.NNGException, TimeoutError, msgspec.DecodeError):
            return None

    async def _exchange(self, context: pynng.Context, data: bytes) -> PeerMessage:
        await context.asend(data)
        return decode_message(await context.arecv())

    async def _serve(self) -> None:
        with self._server.new_context() as context:
            while True:
                try:
                    data = await context.arecv()
                    await context.asend(self._answer(data))
                except pynng.NNGException as error:
                    log_event(_logger, "peer-link-error", error=repr(error))
                    await asyncio.sleep(self._interval_s)

    def _answer(self, data: bytes) -> bytes:
        try:
            message = decode_message(data)
        except msgspec.DecodeError:
            return encode_message(TailReply(()))
        match message:
            case Gossip():
                self._handle_gossip(message)
                return encode_message(self._make_gossip())
            case TailRequest(from_offset):
                return encode_message(self._make_tail(from_offset))
            case ExplainRequest(job_id):
                return encode_message(ExplainReply(self._explain(job_id)))
            case ListRequest():
                return encode_message(ListReply(self._list_poller.listed))
            case _:
                return encode_message(TailReply(()))

    def _make_tail(self, from_offset: int) -> TailReply:
        if from_offset >= self._keeper.state.next_offset:
            return TailReply(())
        entries = self._keeper.get_tail(from_offset, TAIL_LIMIT)
        if entries is None:
            return TailReply((), self._keeper.encode_state())
        return TailReply(entries)

    def _handle_gossip(self, gossip: Gossip) -> None:
        self._table.note(gossip, asyncio.get_running_loop().time())
        # A new instance that cannot reach the platform has no list, so it learns
        # its peers from the gossip that it receives.
        if (
            gossip.address not in self._sockets
            and len(self._sockets) < MAX_PEERS_FOR_DISCOVERY
        ):
            self._dial(gossip.address)
            self._halls[gossip.address] = gossip.hall
