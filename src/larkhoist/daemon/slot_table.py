"""Assign upstreams' slots to requests and queue the other requests."""

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
    """The dispatchers of all services and the requests that wait in them."""

    def __init__(self, hall: str, policy: RequestPolicy):
        self._hall = hall
        self._policy = policy
        self._dispatchers: dict[str, Dispatcher] = {}
        self._addresses: dict[str, str] = {}
        self._waiting: dict[str, asyncio.Future] = {}

    # Membership and load.

    def set_instances(self, listed: InstanceList, now_s: float) -> None:
        """Replace the upstreams by those of this hall in the list."""
        in_hall = {
            i.name: i
            for i in listed.instances
            if i.kind == "upstream" and i.hall == self._hall
        }
        for dispatcher in self._dispatchers.values():
            for name in set(dispatcher.upstreams.names()) - in_hall.keys():
                dispatcher.upstreams.remove(name)
        for upstream in in_hall.values():
            self._put_upstream(upstream, now_s)

    def set_loads(
        self, remote: dict[str, int], ceilings: dict[str, int], now_s: float
    ) -> None:
        """Set the peers' requests in flight and the hall's slot ceilings."""
        for dispatcher in self._dispatchers.values():
            for name in dispatcher.upstreams.names():
                dispatcher.upstreams.set_remote_in_flight(
                    name, remote.get(name, 0), now_s
                )
                if name in ceilings:
                    dispatcher.upstreams.set_ceiling(name, ceilings[name], now_s)

    def get_in_flight(self) -> dict[str, int]:
        """Return this instance's requests in flight by upstream."""
        counts: dict[str, int] = {}
        for dispatcher in self._dispatchers.values():
            counts.update(dispatcher.upstreams.get_local_in_flight())
        return counts

    def get_address(self, upstream: str) -> str:
        """Return the address of an upstream."""
        return self._addresses[upstream]

    def count_waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return sum(len(d.queue) for d in self._dispatchers.values())

    def count_upstreams(self) -> int:
        """Return the number of upstreams."""
        return sum(len(d.upstreams.names()) for d in self._dispatchers.values())

    def count_slots(self) -> int:
        """Return the number of slots that requests may use."""
        return sum(d.upstreams.count_slots() for d in self._dispatchers.values())

    def count_ejected(self) -> int:
        """Return the number of ejected upstreams."""
        return sum(d.upstreams.count_ejected() for d in self._dispatchers.values())

    # Slots.

    async def acquire(
        self, service: str, request: QueuedRequest, share: int, now_s: float
    ) -> SendTo | Refused:
        """Wait for the decision on a request and return a slot or the refusal."""
        dispatcher = self._get_dispatcher(service)
        dispatcher.retries.add_first_attempt()
        decision = dispatcher.admit(request, share, now_s)
        if isinstance(decision, Queued):
            return await self._wait(dispatcher, request.request_id)
        return decision

    def acquire_for_retry(
        self, service: str, tried: frozenset[str], now_s: float
    ) -> str | None:
        """Return another upstream if the retry budget allows it, or None."""
        return self._get_dispatcher(service).choose_for_retry(tried, now_s)

    def release(
        self, service: str, upstream: str, succeeded: bool, now_s: float
    ) -> None:
        """Release a slot; ``succeeded`` is False if the upstream failed."""
        decisions = self._get_dispatcher(service).finish(upstream, succeeded, now_s)
        self._resolve_waiters(decisions)

    def pump(self, now_s: float) -> None:
        """Refuse requests past their deadlines and assign freed slots."""
        for dispatcher in list(self._dispatchers.values()):
            self._resolve_waiters(dispatcher.pump(now_s))

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
                    self._resolve_waiters(
                        dispatcher.finish(decision.upstream, True, now_s)
                    )
            raise
        finally:
            self._waiting.pop(request_id, None)

    def _resolve_waiters(self, decisions: list[SendTo | Refused]) -> None:
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
