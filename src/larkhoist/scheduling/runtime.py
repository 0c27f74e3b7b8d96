"""Predict run times from earlier jobs of the same customer and kind."""

from ddsketch import DDSketch

from larkhoist.log.objects import JobSpec

__all__ = ["RuntimeLearner"]

# Used while there are too few samples. A prediction that is too short would let
# backfilled jobs delay a reservation.
DEFAULT_RATIO = 3.0
MIN_SAMPLES = 5
DEFAULT_QUANTILE = 0.9


class RuntimeLearner:
    """The ratios of actual to declared run time, by customer and kind of job."""

    def __init__(self):
        self._ratios: dict[tuple[str, str], DDSketch] = {}

    def note(self, spec: JobSpec, actual_s: float) -> None:
        """Add the run time of a finished job, in seconds."""
        sketch = self._ratios.setdefault((spec.customer, spec.kind), DDSketch())
        sketch.add(max(actual_s, 0.001) / max(spec.declared_s, 0.001))

    def predict(self, spec: JobSpec, quantile: float = DEFAULT_QUANTILE) -> float:
        """Return the ``quantile`` of the run time of such jobs, in seconds."""
        sketch = self._ratios.get((spec.customer, spec.kind))
        if sketch is None or sketch.count < MIN_SAMPLES:
            return spec.declared_s * DEFAULT_RATIO
        return spec.declared_s * sketch.get_quantile_value(quantile)
