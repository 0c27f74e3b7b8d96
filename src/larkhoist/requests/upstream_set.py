"""Choose the upstream for a request in time independent of the number of upstreams.

Upstreams are kept in buckets by their number of requests in flight. The fullest
upstream below ``pack_share`` of its slots is chosen, so that whole workers stay free
for gangs. If there is none, the one with the fewest requests is chosen.
"""

from dataclasses import dataclass

from sortedcontainers import SortedSet

from larkhoist.requests.policy import RequestPolicy

__all__ = ["UpstreamSet"]


@dataclass(slots=True)
class _Upstream:
    """An upstream; ``bucket_index`` is -1 while it accepts no further request."""

    name: str
    rank: int
    slots: int
    local_in_flight: int = 0
    remote_in_flight: int = 0
    ceiling: int = 0
    leaving: bool = False
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    reinstated_s: float = float("-inf")
    bucket_index: int = -1

    @property
    def load(self) -> int:
        return self.local_in_flight + self.remote_in_flight


class UpstreamSet:
    """The upstreams of one service with the requests in flight at each."""

    def __init__(self, policy: RequestPolicy):
        self._policy = policy
        self._upstreams: dict[str, _Upstream] = {}
        self._unlisted_in_flight: dict[str, int] = {}
        self._buckets: list[SortedSet] = []
        self._ejected: dict[str, float] = {}
        self._slow_starting: set[str] = set()
        self._next_rank = 0

    def put(self, name: str, slots: int, now_s: float) -> None:
        """Add an upstream, or change its slots."""
        upstream = self._upstreams.get(name)
        if upstream is None:
            local_in_flight = self._unlisted_in_flight.pop(name, 0)
            upstream = _Upstream(
                name, self._next_rank, slots, local_in_flight, ceiling=slots
            )
            self._next_rank += 1
            self._upstreams[name] = upstream
        upstream.slots = slots
        upstream.leaving = False
        self._update_bucket(upstream, now_s)

    def set_leaving(self, name: str, now_s: float) -> None:
        """Send an upstream no further requests; those in flight continue."""
        upstream = self._upstreams.get(name)
        if upstream is not None:
            upstream.leaving = True
            self._update_bucket(upstream, now_s)

    def remove(self, name: str) -> None:
        """Remove an upstream; its requests in flight continue and stay counted."""
        upstream = self._upstreams.pop(name, None)
        if upstream is not None:
            # Removal ends none of its requests: keep counting them until they end.
            if upstream.local_in_flight:
                self._unlisted_in_flight[name] = upstream.local_in_flight
            self._remove_from_bucket(upstream)
            self._ejected.pop(name, None)
            self._slow_starting.discard(name)

    def set_remote_in_flight(self, name: str, count: int, now_s: float) -> None:
        """Set how many requests from other instances an upstream has in flight."""
        upstream = self._upstreams.get(name)
        if upstream is not None and upstream.remote_in_flight != count:
            upstream.remote_in_flight = count
            self._update_bucket(upstream, now_s)

    def set_ceiling(self, name: str, ceiling: int, now_s: float) -> None:
        """Set how many slots requests may use; the others belong to jobs."""
        upstream = self._upstreams.get(name)
        if upstream is not None and upstream.ceiling != ceiling:
            upstream.ceiling = ceiling
            self._update_bucket(upstream, now_s)

    def names(self) -> list[str]:
        """Return the names of all upstreams."""
        return list(self._upstreams)

    def get_local_in_flight(self) -> dict[str, int]:
        """Return this instance's requests in flight by upstream, without zeros.

        Removed upstreams are included until their requests have ended.
        """
        listed = {
            u.name: u.local_in_flight
            for u in self._upstreams.values()
            if u.local_in_flight
        }
        return self._unlisted_in_flight | listed

    def choose(self, now_s: float, avoid: frozenset[str] = frozenset()) -> str | None:
        """Return the upstream for the next request, or None if all are full."""
        self._reinstate(now_s)
        fullest = None
        emptiest = None
        for load, bucket in enumerate(self._buckets):
            name = self._find_allowed(bucket, avoid)
            if name is None:
                continue
            if emptiest is None:
                emptiest = name
            if load < self._policy.pack_share * self._upstreams[name].slots:
                fullest = name
        return fullest or emptiest

    def begin(self, name: str, now_s: float) -> None:
        """Count a request that is about to be sent."""
        upstream = self._upstreams[name]
        upstream.local_in_flight += 1
        self._update_bucket(upstream, now_s)

    def finish(self, name: str, succeeded: bool, now_s: float) -> None:
        """Count a request that ended; eject the upstream after repeated failures.

        ``succeeded`` is False if the request was sent and the upstream did not
        answer it.
        """
        upstream = self._upstreams.get(name)
        if upstream is None:
            self._finish_unlisted(name)
            return
        upstream.local_in_flight -= 1
        if succeeded:
            upstream.failures = 0
            upstream.ejections = 0
        else:
            upstream.failures += 1
            self._eject(upstream, now_s)
        self._update_bucket(upstream, now_s)

    def _finish_unlisted(self, name: str) -> None:
        remaining = self._unlisted_in_flight.pop(name, 0) - 1
        if remaining > 0:
            self._unlisted_in_flight[name] = remaining

    def count_slots(self) -> int:
        """Return the slots that requests may use at upstreams that are not leaving."""
        return sum(
            min(upstream.slots, upstream.ceiling)
            for upstream in self._upstreams.values()
            if not upstream.leaving
        )

    def count_ejected(self) -> int:
        """Return how many upstreams are ejected."""
        return len(self._ejected)

    def _eject(self, upstream: _Upstream, now_s: float) -> None:
        policy = self._policy
        if upstream.failures < policy.eject_after or upstream.name in self._ejected:
            return
        max_ejected = max(1, int(len(self._upstreams) * policy.max_ejected_share))
        if len(self._ejected) >= min(max_ejected, len(self._upstreams) - 1):
            return
        period_s = policy.eject_s * 2**upstream.ejections
        upstream.ejections += 1
        upstream.failures = 0
        upstream.ejected_until_s = now_s + min(period_s, policy.longest_eject_s)
        self._ejected[upstream.name] = upstream.ejected_until_s

    def _reinstate(self, now_s: float) -> None:
        if not self._ejected and not self._slow_starting:
            return
        for name, until_s in list(self._ejected.items()):
            if now_s >= until_s:
                del self._ejected[name]
                self._upstreams[name].reinstated_s = now_s
                self._slow_starting.add(name)
        for name in list(self._slow_starting):
            self._update_bucket(self._upstreams[name], now_s)

    def _find_allowed(self, bucket: SortedSet, avoid: frozenset[str]) -> str | None:
        for _, name in bucket:
            if name not in avoid:
                return name
        return None

    def _get_limit(self, upstream: _Upstream, now_s: float) -> int:
        if upstream.leaving or upstream.name in self._ejected:
            return 0
        limit = min(upstream.slots, upstream.ceiling)
        if limit == upstream.slots:
            limit += self._policy.overcommit
        age_s = now_s - upstream.reinstated_s
        if age_s >= self._policy.slow_start_s:
            self._slow_starting.discard(upstream.name)
            return limit
        return min(limit, 1 + int(limit * age_s / self._policy.slow_start_s))

    def _update_bucket(self, upstream: _Upstream, now_s: float) -> None:
        self._remove_from_bucket(upstream)
        load = upstream.load
        if load >= self._get_limit(upstream, now_s):
            return
        while len(self._buckets) <= load:
            self._buckets.append(SortedSet())
        self._buckets[load].add((upstream.rank, upstream.name))
        upstream.bucket_index = load

    def _remove_from_bucket(self, upstream: _Upstream) -> None:
        if upstream.bucket_index >= 0:
            key = (upstream.rank, upstream.name)
            self._buckets[upstream.bucket_index].discard(key)
            upstream.bucket_index = -1
