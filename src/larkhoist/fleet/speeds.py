"""Estimate how fast workers are, relative to each other.

A gang runs at the speed of its slowest member, so if one worker in three is slow,
nearly every gang of five is slow.

The time of a task is taken as the product of its size and its worker's factor. Only
ratios of factors can be measured; their scale is such that their geometric mean is
about 1. All estimates are means and variances of logarithms. A sample counts by its
variance, so that a comparison with equally large tasks counts most and one with a
declared time least.
"""

import itertools
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

__all__ = [
    "UNEVEN_RATIO",
    "SpeedFactor",
    "StepSize",
    "WorkerSpeeds",
    "create_step_size",
]

PRIOR_VARIANCE = 0.4**2
"""Variance of the factors of unknown workers. Those of 0.6, 1.0 and 1.6 in equal
numbers have a standard deviation of 0.40."""
MIN_VARIANCE = 0.06**2
"""Least variance of an estimate, so that it can follow small changes."""
TASK_VARIANCE = 0.17**2
"""Variance of the sizes of independent tasks of a step, which differ by 30 %."""
DECLARED_VARIANCE = 0.5**2
"""Variance of the errors of declared times until some of the queue are known."""
MIN_DECLARED_VARIANCE = 0.15**2
SURPRISE = 2.0
"""A sample that is further off, in standard deviations, is limited to this. If the next
one is off in the same direction as well, the worker's speed has changed. A single such
sample may come from a task that was stalled."""
MAX_LOG_FACTOR = math.log(8)
CORRECTION_STEP = 0.05
"""Change of a step's size for which the workers that were compared by it are corrected.
Smaller changes are not worth a pass over all of them."""
QUEUE_WEIGHT = 0.05
"""Least weight of a step in the mean error of its queue's declared times."""
QUEUE_PRIOR_STEPS = 4
"""After this many steps, the prior counts for half of a queue's error."""
SCALE_PRIOR_WORKERS = 20
"""After this many known workers, their mean counts for half of the scale: the first to
be known are those that are in use, or the fastest."""
MIN_WORKERS = 10
"""How many workers must be known before their speeds are compared."""
UNEVEN_RATIO = 2.0
"""Below this ratio, a slow worker takes at most some 1.4 times as long as a usual one,
so that urgent work, which may take 1.5 times its work, is on time on any of them."""
LOW_SHARE = 0.2
HIGH_SHARE = 0.8
BUCKETS_PER_UNIT = 50
"""Resolution of the percentiles, per unit of the logarithm: 2 %."""
NEUTRAL_BUCKET = round(MAX_LOG_FACTOR * BUCKETS_PER_UNIT)
"""The bucket of a factor of 1, in the middle."""
RECORDED_CHANGE = math.log(1.1)
"""Least change of a factor for which the factors are recorded again."""


@dataclass(frozen=True, slots=True)
class SpeedFactor:
    """A worker's factor, above 1 if it is slower, and how many samples it rests on.

    ``samples`` is the number of independent tasks that would give the same variance.
    """

    factor: float
    samples: int


@dataclass(slots=True, eq=False)
class _Estimate:
    """The estimated logarithm of a worker's factor.

    ``bucket`` is that of its value, for the percentiles. ``surprise`` is the direction
    of the last sample if it was far off, else 0. ``recorded`` is the value that was
    last exported. ``is_known`` is cleared once the worker is forgotten.
    """

    value: float = 0.0
    variance: float = PRIOR_VARIANCE
    bucket: int = NEUTRAL_BUCKET
    surprise: int = 0
    recorded: float = 0.0
    is_known: bool = True


@dataclass(slots=True)
class _Comparison:
    """All samples of a step from one worker, whose estimate was ``prior`` before.

    ``mean`` is the mean of ``count`` samples, and ``shift`` the change of the worker's
    estimate that they have caused: ``gain`` times their distance from what the prior
    and the size of the step predict.
    """

    prior: float
    variance: float
    count: int = 0
    mean: float = 0.0
    weight: float = 0.0
    gain: float = 0.0
    shift: float = 0.0


@dataclass(slots=True)
class QueueError:
    """The logarithm of the errors of a queue's declared times: mean and variance."""

    mean: float = 0.0
    variance: float = DECLARED_VARIANCE
    steps: int = QUEUE_PRIOR_STEPS

    def note(self, error: float, uncertainty: float) -> None:
        """Record the error of one step, of which ``uncertainty`` is the variance."""
        self.steps += 1
        weight = max(QUEUE_WEIGHT, 1 / self.steps)
        excess = max(0.0, (error - self.mean) ** 2 - uncertainty)
        self.variance += weight * (excess - self.variance)
        self.variance = max(MIN_DECLARED_VARIANCE, self.variance)
        self.mean += weight * (error - self.mean)


@dataclass(slots=True)
class StepSize:
    """The estimated logarithm of the time that a step's tasks take at factor 1.

    ``mean`` starts as the declared time and follows the samples; ``weight`` is the
    inverse of its variance. ``spread`` is the variance of the sizes of the tasks.
    ``applied`` is the mean that the estimates of all compared workers reflect.
    """

    declared: float
    spread: float
    mean: float
    applied: float
    weight: float
    error: QueueError | None = None
    compared: dict[_Estimate, _Comparison] = field(default_factory=dict)

    def move(self, value: float, weight: float) -> None:
        """Add to the weighted sum of which this is the mean, and to its weight."""
        total = self.mean * self.weight + value
        self.weight += weight
        self.mean = total / self.weight


class WorkerSpeeds:
    """The factor by which tasks take longer on each worker than on others.

    Workers count as uneven while the 80th percentile of the known factors is at least
    ``uneven_ratio`` times the 20th.
    """

    def __init__(self, uneven_ratio: float = UNEVEN_RATIO):
        self._uneven_ratio = uneven_ratio
        self._workers: dict[str, _Estimate] = {}
        self._sum = 0.0
        self._queue_errors: dict[str, QueueError] = {}
        self._buckets = [0] * (2 * NEUTRAL_BUCKET + 1)
        self._range: tuple[float, float] | None = None
        self._has_changed = False

    def __len__(self) -> int:
        return len(self._workers)

    @property
    def is_uneven(self) -> bool:
        """Tell whether the workers' speeds differ enough to matter for placement."""
        if len(self._workers) < MIN_WORKERS:
            return False
        low, high = self.get_range()
        return high >= self._uneven_ratio * low

    @property
    def has_changed(self) -> bool:
        """Tell whether a factor has changed by 10 % since the factors were exported."""
        return self._has_changed

    def get_range(self) -> tuple[float, float]:
        """Return the 20th and the 80th percentile of the known factors, 1 if none."""
        if self._range is None:
            self._range = (
                self._get_percentile(LOW_SHARE),
                self._get_percentile(HIGH_SHARE),
            )
        return self._range

    def get_factor(self, worker: str) -> float:
        """Return the factor of a worker, 1 if it is unknown."""
        estimate = self._workers.get(worker)
        return 1.0 if estimate is None else self._compute_factor(estimate)

    def get_queue_error(self, queue: str) -> QueueError:
        """Return the error of a queue's declared times."""
        return self._queue_errors.setdefault(queue, QueueError())

    def note_progress(
        self, worker: str, size: StepSize, total_s: float, variance: float
    ) -> None:
        """Record the estimated total time of a task of a step on a worker.

        ``variance`` is the square of that time's relative error. What a step tells of a
        worker depends on the step's size, and so on all its workers. Therefore workers
        that were compared earlier are corrected when the size changes.
        """
        estimate = self._workers.get(worker)
        if estimate is None:
            estimate = self._workers[worker] = _Estimate()
            self._buckets[NEUTRAL_BUCKET] += 1
        compared = size.compared.get(estimate)
        if compared is not None and not size.spread:
            # Another member of a gang on the same worker tells nothing more.
            return
        noise = size.spread + variance
        own = self._limit_surprise(estimate, size, math.log(total_s), noise)
        if size.error is not None and not size.compared:
            offset = own - estimate.value - size.declared
            size.error.note(offset, estimate.variance + noise)
        if compared is None or estimate.variance == PRIOR_VARIANCE:
            compared = _Comparison(estimate.value, estimate.variance)
            size.compared[estimate] = compared
        former_weight = compared.weight
        former_value = former_weight * (compared.mean - compared.prior)
        compared.count += 1
        compared.mean += (own - compared.mean) / compared.count
        noise = size.spread / compared.count + variance
        weight = compared.weight = 1 / (compared.variance + noise)
        gain = compared.gain = compared.variance * weight
        value = weight * (compared.mean - compared.prior)
        size.move(value - former_value, weight - former_weight)
        remaining = compared.variance * (1 - gain) + gain * gain / size.weight
        if remaining < estimate.variance:
            estimate.variance = max(MIN_VARIANCE, remaining)
        if -CORRECTION_STEP < size.mean - size.applied < CORRECTION_STEP:
            self._correct(estimate, compared, size.mean)
            return
        size.applied = size.mean
        for other, earlier in size.compared.items():
            if other.is_known:
                self._correct(other, earlier, size.mean)

    def _correct(self, estimate: _Estimate, compared: _Comparison, mean: float) -> None:
        """Update the shift that a step has caused to a worker's estimate."""
        shift = compared.gain * (compared.mean - mean - compared.prior)
        self._set(estimate, estimate.value + shift - compared.shift)
        compared.shift = shift

    def forget(self, worker: str) -> None:
        """Drop the samples of a worker that no longer exists."""
        estimate = self._workers.pop(worker, None)
        if estimate is not None:
            estimate.is_known = False
            self._buckets[estimate.bucket] -= 1
            self._sum -= estimate.value
            self._range = None

    def retain(self, workers: Iterable[str]) -> None:
        """Forget all workers but these."""
        for worker in self._workers.keys() - set(workers):
            self.forget(worker)

    def export(self) -> dict[str, SpeedFactor]:
        """Return the factors of all known workers, to be recorded."""
        self._has_changed = False
        for estimate in self._workers.values():
            estimate.recorded = estimate.value
        return self.list_known()

    def list_known(self) -> dict[str, SpeedFactor]:
        """Return the factors of all known workers."""
        return {
            worker: SpeedFactor(
                self._compute_factor(estimate), _count_samples(estimate.variance)
            )
            for worker, estimate in self._workers.items()
        }

    def restore(self, factors: Mapping[str, SpeedFactor]) -> None:
        """Add recorded factors at half weight; workers that are known stay as they are.

        Workers may have changed since the record was written.
        """
        for worker, recorded in factors.items():
            if worker in self._workers:
                continue
            precision = 1 / PRIOR_VARIANCE + recorded.samples / 2 / TASK_VARIANCE
            estimate = _Estimate(variance=max(MIN_VARIANCE, 1 / precision))
            self._workers[worker] = estimate
            self._buckets[NEUTRAL_BUCKET] += 1
            estimate.recorded = math.log(recorded.factor)
            self._set(estimate, estimate.recorded)

    def _limit_surprise(
        self, estimate: _Estimate, size: StepSize, own: float, noise: float
    ) -> float:
        """Return a sample limited to what is likely, unless the speed has changed."""
        expected = size.mean + estimate.value
        unsure = noise + 1 / size.weight
        variance = estimate.variance + unsure
        offset = own - expected
        if offset * offset <= SURPRISE * SURPRISE * variance:
            estimate.surprise = 0
            return own
        direction = 1 if offset > 0 else -1
        if estimate.surprise == direction:
            estimate.variance = PRIOR_VARIANCE
            variance = PRIOR_VARIANCE + unsure
        estimate.surprise = direction
        limit = SURPRISE * math.sqrt(variance)
        return expected + max(-limit, min(limit, offset))

    def _set(self, estimate: _Estimate, value: float) -> None:
        # This is called for each sample: ``max`` and ``round`` would double its time.
        if value > MAX_LOG_FACTOR:
            value = MAX_LOG_FACTOR
        elif value < -MAX_LOG_FACTOR:
            value = -MAX_LOG_FACTOR
        self._sum += value - estimate.value
        estimate.value = value
        bucket = int(value * BUCKETS_PER_UNIT + NEUTRAL_BUCKET + 0.5)
        if bucket != estimate.bucket:
            self._buckets[estimate.bucket] -= 1
            self._buckets[bucket] += 1
            estimate.bucket = bucket
        self._range = None
        if not -RECORDED_CHANGE < value - estimate.recorded < RECORDED_CHANGE:
            self._has_changed = True

    def _compute_factor(self, estimate: _Estimate) -> float:
        return math.exp(estimate.value - self._get_scale())

    def _get_scale(self) -> float:
        return self._sum / (len(self._workers) + SCALE_PRIOR_WORKERS)

    def _get_percentile(self, share: float) -> float:
        left = share * len(self._workers)
        if not left:
            return 1.0
        counts = itertools.accumulate(self._buckets)
        bucket = next(n for n, count in enumerate(counts) if count > left)
        value = (bucket - NEUTRAL_BUCKET) / BUCKETS_PER_UNIT
        return math.exp(value - self._get_scale())


def create_step_size(
    speeds: WorkerSpeeds, queue: str, declared_ms: int, *, equal_tasks: bool
) -> StepSize:
    """Return the size of a step of which no task has been measured.

    ``equal_tasks`` is set if all its tasks are equally large.
    """
    declared = math.log(max(1, declared_ms) / 1000)
    error = speeds.get_queue_error(queue)
    mean = declared + error.mean
    spread = 0.0 if equal_tasks else TASK_VARIANCE
    return StepSize(declared, spread, mean, mean, 1 / error.variance, error)


def _count_samples(variance: float) -> int:
    return max(1, round(TASK_VARIANCE * (1 / variance - 1 / PRIOR_VARIANCE)))
