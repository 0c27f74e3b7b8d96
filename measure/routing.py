"""Compare request routing with baseline strategies on seeded arrivals."""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from ddsketch import DDSketch

from larkhoist.requests.dispatcher import Refused, SendTo, create_dispatcher
from larkhoist.requests.fair_queue import QueuedRequest
from larkhoist.requests.policy import RequestPolicy

__all__ = ["print_routing"]

INSTANCES = 2
RUNNERS = 8
SLOTS = 8
GOSSIP_S = 0.1
MEAN_WORK_S = 0.05
DEADLINE_S = 10.0
REQUESTS = 20_000
LOADS = (0.3, 0.6, 0.85)
SEEDS = (1, 2)


class Strategy(Enum):
    """Strategies to choose a runner; the values are printed."""

    PACKED = "ours, packed"
    SPREAD = "ours, spread"
    LEAST = "least outstanding"
    ROUND_ROBIN = "round robin"
    RANDOM = "random"


_POLICIES = {
    Strategy.PACKED: RequestPolicy(pack_share=0.75),
    Strategy.SPREAD: RequestPolicy(pack_share=0.0),
}


@dataclass(slots=True)
class _Runner:
    """The number of busy slots of a runner and the requests that wait for one."""

    busy: int = 0
    waiting: deque = field(default_factory=deque)


@dataclass(slots=True)
class RoutingResult:
    """The results of one run; latencies are in seconds.

    ``overshoot`` counts requests sent to a runner without a free slot, and
    ``idle_runners`` is the mean number of runners without a request.
    """

    latency: DDSketch = field(default_factory=DDSketch)
    overshoot: int = 0
    refused: int = 0
    idle_runners: float = 0.0


class _Run:
    """Replay one seeded stream of requests over all instances of a hall."""

    def __init__(self, strategy: Strategy, load: float, seed: int):
        self.strategy = strategy
        self.random = random.Random(seed)
        self.arrivals = random.Random(seed + 1000)
        self.rate = load * RUNNERS * SLOTS / MEAN_WORK_S
        self.names = [f"r{n}" for n in range(RUNNERS)]
        self.runners = {name: _Runner() for name in self.names}
        self.outstanding = [dict.fromkeys(self.names, 0) for _ in range(INSTANCES)]
        self.round_robin = [itertools.cycle(self.names) for _ in range(INSTANCES)]
        self.dispatchers = []
        if strategy in _POLICIES:
            self.dispatchers = [self._create(strategy) for _ in range(INSTANCES)]
        self.result = RoutingResult()
        # By request: arrival time and work in seconds, instance.
        self.open_requests: dict[str, tuple[float, float, int]] = {}
        self.heap: list = []
        self.numbers = itertools.count()
        self.now_s = 0.0
        self.idle_runner_s = 0.0

    def _create(self, strategy):
        dispatcher = create_dispatcher(_POLICIES[strategy])
        for name in self.names:
            dispatcher.upstreams.put(name, SLOTS, 0.0)
        return dispatcher

    def run(self) -> RoutingResult:
        """Replay every request."""
        self._add(0.0, self._arrive, 0)
        self._add(GOSSIP_S, self._gossip)
        while self.heap:
            at_s, _, callback, arguments = heapq.heappop(self.heap)
            idle = sum(not r.busy for r in self.runners.values())
            self.idle_runner_s += idle * (at_s - self.now_s)
            self.now_s = at_s
            callback(*arguments)
        self.result.idle_runners = self.idle_runner_s / self.now_s
        return self.result

    def _add(self, at_s, callback, *arguments) -> None:
        heapq.heappush(self.heap, (at_s, next(self.numbers), callback, arguments))

    def _arrive(self, number: int) -> None:
        # One in ten arrivals is a burst of ten at the same moment.
        burst = 10 if self.arrivals.random() < 0.1 else 1
        for _ in range(burst):
            self._take_request(number)
            number += 1
        if number < REQUESTS:
            # The mean number of requests per arrival is 0.9 * 1 + 0.1 * 10 = 1.9.
            gap_s = self.arrivals.expovariate(self.rate / 1.9)
            self._add(self.now_s + gap_s, self._arrive, number)

    def _take_request(self, number: int) -> None:
        # The mean of this log-normal distribution is exp(0.5) = 1.6487.
        work_s = self.arrivals.lognormvariate(0, 1) * MEAN_WORK_S / 1.6487
        instance = self.arrivals.randrange(INSTANCES)
        request = f"q{number}"
        self.open_requests[request] = (self.now_s, work_s, instance)
        if not self.dispatchers:
            self._send(request, self._choose(instance))
            return
        queued = QueuedRequest(request, "c", self.now_s, self.now_s + DEADLINE_S)
        decision = self.dispatchers[instance].admit(queued, 1, self.now_s)
        self._apply(decision)

    def _apply(self, decision) -> None:
        match decision:
            case SendTo(request, name):
                self._send(request, name)
            case Refused(request):
                self.result.refused += 1
                del self.open_requests[request]

    def _choose(self, instance: int) -> str:
        outstanding = self.outstanding[instance]
        match self.strategy:
            case Strategy.LEAST:
                least = min(outstanding.values())
                return self.random.choice(
                    [n for n in self.names if outstanding[n] == least]
                )
            case Strategy.ROUND_ROBIN:
                return next(self.round_robin[instance])
            case _:
                return self.random.choice(self.names)

    def _send(self, request: str, name: str) -> None:
        runner = self.runners[name]
        self.outstanding[self.open_requests[request][2]][name] += 1
        if runner.busy < SLOTS:
            self._begin(request, name)
        else:
            self.result.overshoot += 1
            runner.waiting.append(request)

    def _begin(self, request: str, name: str) -> None:
        self.runners[name].busy += 1
        self._add(
            self.now_s + self.open_requests[request][1], self._finish, request, name
        )

    def _finish(self, request: str, name: str) -> None:
        arrived_s, _, instance = self.open_requests.pop(request)
        self.result.latency.add(self.now_s - arrived_s)
        runner = self.runners[name]
        runner.busy -= 1
        if runner.waiting:
            self._begin(runner.waiting.popleft(), name)
        self.outstanding[instance][name] -= 1
        if self.dispatchers:
            for decision in self.dispatchers[instance].finish(name, True, self.now_s):
                self._apply(decision)

    def _gossip(self) -> None:
        for instance, dispatcher in enumerate(self.dispatchers):
            for name in self.names:
                others = (
                    sum(outstanding[name] for outstanding in self.outstanding)
                    - self.outstanding[instance][name]
                )
                dispatcher.upstreams.set_remote_in_flight(name, others, self.now_s)
            for decision in dispatcher.pump(self.now_s):
                self._apply(decision)
        if self.open_requests or self.heap:
            self._add(self.now_s + GOSSIP_S, self._gossip)


def print_routing() -> None:
    """Print a row for each load and strategy."""
    print(f"routing, {INSTANCES} instances, {RUNNERS} runners, seeds {SEEDS}")
    print(
        f"  {'load':<5} {'way':<18} {'p50 ms':>7} {'p99 ms':>7} {'max ms':>7} "
        f"{'overshoot':>9} {'refused':>7} {'idle runners':>12}"
    )
    for load in LOADS:
        for strategy in Strategy:
            results = [_Run(strategy, load, seed).run() for seed in SEEDS]
            print(f"  {load:<5.0%} {strategy.value:<18} {_format(results)}")


def _format(results: list[RoutingResult]) -> str:
    latency = DDSketch()
    for result in results:
        latency.merge(result.latency)
    quantiles = [latency.get_quantile_value(q) * 1000 for q in (0.5, 0.99, 1.0)]
    overshoot = sum(r.overshoot for r in results) / latency.count
    idle = sum(r.idle_runners for r in results) / len(results)
    return (
        f"{quantiles[0]:>7.1f} {quantiles[1]:>7.1f} {quantiles[2]:>7.1f} "
        f"{overshoot:>9.1%} {sum(r.refused for r in results):>7} {idle:>12.2f}"
    )
