"""Give upstreams' slots to requests and let the others wait."""

import asyncio

from larkhoist.ports.platform import Instance, InstanceList
from larkhoist.requests.dispatcher import (
    Dispatcher,
    Queued,
    Refused,
    SendTo,
    create_dispatcher,
)
from larkhoist.requests.fair_queue import QueuedRequest
from larkhoist.requests.policy import RequestPolicy

__all__ = ["SlotTable"]


class SlotTable:
    """Own the dispatchers of all services and the requests that wait in them."""

    def __init__(self, hall: str, policy: RequestPolicy):
        self._hall = hall
        self._policy = policy
        self._dispatchers: dict[str, Dispatcher] = {}
        self._addresses: dict[str, str] = {}
        self._waiting: dict[str, asyncio.Future] = {}

    # Membership and load.

    def take_list(self, listed: InstanceList, now_s: float) -> None:
        """Take over the upstreams of this hall."""
        near = {
            i.name: i
            for i in listed.instances
            if i.kind == "upstream" and i.hall == self._hall
        }
        for dispatcher in self._dispatchers.values():
            for name in set(dispatcher.upstreams.names()) - near.keys():
                dispatcher.upstreams.remove(name)
        for upstream in near.values():
            self._put_upstream(upstream, now_s)

    def take_loads(
        self, remote: dict[str, int], ceilings: dict[str, int], now_s: float
    ) -> None:
        """Take over the peers' requests in flight and the hall's slot ceilings."""
        for dispatcher in self._dispatchers.values():
            for name in dispatcher.upstreams.names():
                dispatcher.upstreams.set_remote(name, remote.get(name, 0), now_s)
                if name in ceilings:
                    dispatcher.upstreams.set_ceiling(name, ceilings[name], now_s)

    def get_in_flight(self) -> dict[str, int]:
        """Return this instance's requests in flight by upstream."""
        counts: dict[str, int] = {}
        for dispatcher in self._dispatchers.values():
            counts.update(dispatcher.upstreams.get_own())
        return counts

    def get_address(self, upstream: str) -> str:
        """Return where an upstream listens."""
        return self._addresses[upstream]

    def count_waiting(self) -> int:
        """Return how many requests wait for a slot."""
        return sum(len(d.queue) for d in self._dispatchers.values())

    def count_upstreams(self) -> int:
        """Return how many upstreams there are."""
        return sum(len(d.upstreams.names()) for d in self._dispatchers.values())

    def count_slots(self) -> int:
        """Return the slots that requests may use."""
        return sum(d.upstreams.count_slots() for d in self._dispatchers.values())

    def count_ejected(self) -> int:
        """Return how many upstreams are ejected."""
        return sum(d.upstreams.count_ejected() for d in self._dispatchers.values())

    # Slots.

    async def acquire(
        self, service: str, request: QueuedRequest, share: int, now_s: float
    ) -> SendTo | Refused:
        """Return a slot for a request, or the refusal, as soon as it is decided."""
        dispatcher = self._get_dispatcher(service)
        dispatcher.retries.note_first()
        decision = dispatcher.offer(request, share, now_s)
        if isinstance(decision, Queued):
            return await self._wait(dispatcher, request.request_id)
        return decision

    def acquire_again(
        self, service: str, tried: frozenset[str], now_s: float
    ) -> str | None:
        """Return another upstream for a retry within the budget, or None."""
        return self._get_dispatcher(service).choose_again(tried, now_s)

    def release(self, service: str, upstream: str, well: bool, now_s: float) -> None:
        """Give a slot back; ``well`` tells whether the upstream answered."""
        decisions = self._get_dispatcher(service).finish(upstream, well, now_s)
        self._give_out(decisions)

    def pump(self, now_s: float) -> None:
        """Refuse what is late and give out slots that got free meanwhile."""
        for dispatcher in list(self._dispatchers.values()):
            self._give_out(dispatcher.pump(now_s))

    async def _wait(self, dispatcher: Dispatcher, request_id: str) -> SendTo | Refused:
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self._waiting[request_id] = future
        try:
            return await future
        except asyncio.CancelledError:
            if not dispatcher.queue.remove(request_id) and not future.cancelled():
                decision = future.result()
                if isinstance(decision, SendTo):
                    now_s = loop.time()
                    self._give_out(dispatcher.finish(decision.upstream, True, now_s))
            raise
        finally:
            self._waiting.pop(request_id, None)

    def _give_out(self, decisions: list[SendTo | Refused]) -> None:
        for decision in decisions:
            future = self._waiting.get(decision.request_id)
            if future is not None and not future.done():
                future.set_result(decision)

    def _put_upstream(self, upstream: Instance, now_s: float) -> None:
        upstreams = self._get_dispatcher(upstream.service).upstreams
        self._addresses[upstream.name] = upstream.address
        if upstream.leaving:
            upstreams.set_leaving(upstream.name, now_s)
        else:
            upstreams.put(upstream.name, upstream.slots, now_s)

    def _get_dispatcher(self, service: str) -> Dispatcher:
        if service not in self._dispatchers:
            self._dispatchers[service] = create_dispatcher(self._policy)
        return self._dispatchers[service]
