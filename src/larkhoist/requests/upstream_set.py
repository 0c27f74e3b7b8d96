"""Choose the upstream for a request in time that does not grow with upstreams.

Upstreams stand in buckets by their number of requests in flight. Packing takes
the fullest upstream below the limit, so that whole workers stay free for gangs;
above it the emptiest one is taken.
"""

from dataclasses import dataclass

from sortedcontainers import SortedSet

from larkhoist.requests.policy import RequestPolicy

__all__ = ["UpstreamSet"]


@dataclass(slots=True)
class _Upstream:
    name: str
    rank: int
    slots: int
    own: int = 0
    remote: int = 0
    ceiling: int = 0
    leaving: bool = False
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    began_s: float = float("-inf")
    listed: int = -1

    @property
    def load(self) -> int:
        return self.own + self.remote


class UpstreamSet:
    """Hold the upstreams of one service and the requests in flight at each."""

    def __init__(self, policy: RequestPolicy):
        self._policy = policy
        self._upstreams: dict[str, _Upstream] = {}
        self._off_list: dict[str, int] = {}
        self._buckets: list[SortedSet] = []
        self._ejected: dict[str, float] = {}
        self._starting: set[str] = set()
        self._next_rank = 0

    def put(self, name: str, slots: int, now_s: float) -> None:
        """Add an upstream, or change its slots."""
        upstream = self._upstreams.get(name)
        if upstream is None:
            own = self._off_list.pop(name, 0)
            upstream = _Upstream(name, self._next_rank, slots, own, ceiling=slots)
            self._next_rank += 1
            self._upstreams[name] = upstream
        upstream.slots = slots
        upstream.leaving = False
        self._list(upstream, now_s)

    def set_leaving(self, name: str, now_s: float) -> None:
        """Give an upstream no new work; what is in flight there goes on."""
        upstream = self._upstreams.get(name)
        if upstream is not None:
            upstream.leaving = True
            self._list(upstream, now_s)

    def remove(self, name: str) -> None:
        """Take an upstream out; what is in flight there goes on."""
        upstream = self._upstreams.pop(name, None)
        if upstream is not None:
            # That it is off the list ends none of its requests.
            if upstream.own:
                self._off_list[name] = upstream.own
            self._unlist(upstream)
            self._ejected.pop(name, None)
            self._starting.discard(name)

    def set_remote(self, name: str, count: int, now_s: float) -> None:
        """Set how many requests of other instances an upstream has in flight."""
        upstream = self._upstreams.get(name)
        if upstream is not None and upstream.remote != count:
            upstream.remote = count
            self._list(upstream, now_s)

    def set_ceiling(self, name: str, ceiling: int, now_s: float) -> None:
        """Set how many slots requests may use; jobs have the other ones."""
        upstream = self._upstreams.get(name)
        if upstream is not None and upstream.ceiling != ceiling:
            upstream.ceiling = ceiling
            self._list(upstream, now_s)

    def names(self) -> list[str]:
        """Return the names of all upstreams."""
        return list(self._upstreams)

    def get_own(self) -> dict[str, int]:
        """Return this instance's requests in flight by upstream, without zeros.

        Upstreams that were taken out count until their requests have ended.
        """
        listed = {u.name: u.own for u in self._upstreams.values() if u.own}
        return self._off_list | listed

    def choose(self, now_s: float, avoid: frozenset[str] = frozenset()) -> str | None:
        """Return the upstream for the next request, or None where all are full."""
        self._bring_back(now_s)
        packed = None
        spread = None
        for load, bucket in enumerate(self._buckets):
            name = self._pick(bucket, avoid)
            if name is None:
                continue
            if spread is None:
                spread = name
            if load < self._policy.pack_share * self._upstreams[name].slots:
                packed = name
        return packed or spread

    def begin(self, name: str, now_s: float) -> None:
        """Count a request that is about to be sent."""
        upstream = self._upstreams[name]
        upstream.own += 1
        self._list(upstream, now_s)

    def finish(self, name: str, well: bool, now_s: float) -> None:
        """Count a request that ended; eject an upstream that keeps failing."""
        upstream = self._upstreams.get(name)
        if upstream is None:
            self._finish_off_list(name)
            return
        upstream.own -= 1
        if well:
            upstream.failures = 0
            upstream.ejections = 0
        else:
            upstream.failures += 1
            self._eject(upstream, now_s)
        self._list(upstream, now_s)

    def _finish_off_list(self, name: str) -> None:
        left = self._off_list.pop(name, 0) - 1
        if left > 0:
            self._off_list[name] = left

    def count_slots(self) -> int:
        """Return the slots that requests may use at upstreams that stay."""
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
        most = max(1, int(len(self._upstreams) * policy.max_ejected_share))
        if len(self._ejected) >= min(most, len(self._upstreams) - 1):
            return
        period_s = policy.eject_s * 2**upstream.ejections
        upstream.ejections += 1
        upstream.failures = 0
        upstream.ejected_until_s = now_s + min(period_s, policy.longest_eject_s)
        self._ejected[upstream.name] = upstream.ejected_until_s

    def _bring_back(self, now_s: float) -> None:
        if not self._ejected and not self._starting:
            return
        for name, until_s in list(self._ejected.items()):
            if now_s >= until_s:
                del self._ejected[name]
                self._upstreams[name].began_s = now_s
                self._starting.add(name)
        for name in list(self._starting):
            self._list(self._upstreams[name], now_s)

    def _pick(self, bucket: SortedSet, avoid: frozenset[str]) -> str | None:
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
        age_s = now_s - upstream.began_s
        if age_s >= self._policy.slow_start_s:
            self._starting.discard(upstream.name)
            return limit
        return min(limit, 1 + int(limit * age_s / self._policy.slow_start_s))

    def _list(self, upstream: _Upstream, now_s: float) -> None:
        self._unlist(upstream)
        load = upstream.load
        if load >= self._get_limit(upstream, now_s):
            return
        while len(self._buckets) <= load:
            self._buckets.append(SortedSet())
        self._buckets[load].add((upstream.rank, upstream.name))
        upstream.listed = load

    def _unlist(self, upstream: _Upstream) -> None:
        if upstream.listed >= 0:
            key = (upstream.rank, upstream.name)
            self._buckets[upstream.listed].discard(key)
            upstream.listed = -1
