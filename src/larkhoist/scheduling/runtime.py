"""Learn run times from what jobs of one kind took before."""

from ddsketch import DDSketch

from larkhoist.log.objects import JobSpec

__all__ = ["RuntimeLearner"]

CAUTIOUS_RATIO = 3.0
LEAST_SAMPLES = 5
SAFE_QUANTILE = 0.9


class RuntimeLearner:
    """Predict run times, in seconds, from the ratio of actual to declared."""

    def __init__(self):
        self._ratios: dict[tuple[str, str], DDSketch] = {}

    def note(self, spec: JobSpec, actual_s: float) -> None:
        """Take the run time of a job that finished."""
        sketch = self._ratios.setdefault((spec.customer, spec.kind), DDSketch())
        sketch.add(max(actual_s, 0.001) / max(spec.declared_s, 0.001))

    def predict(self, spec: JobSpec, quantile: float = SAFE_QUANTILE) -> float:
        """Return the run time that ``quantile`` of such jobs stay within."""
        sketch = self._ratios.get((spec.customer, spec.kind))
        if sketch is None or sketch.count < LEAST_SAMPLES:
            return spec.declared_s * CAUTIOUS_RATIO
        return spec.declared_s * sketch.get_quantile_value(quantile)
