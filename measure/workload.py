"""Generate seeded workloads of jobs for the replay."""

import random
from dataclasses import dataclass

from larkhoist.log.objects import Cell, CustomerSpec, Guarantee, JobSpec

__all__ = ["Arrival", "Workload", "make_workload"]

HALL = "hall"
MAX_DECLARATION_ERROR = 10.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job with its arrival time, run time and cancellation time, in seconds."""

    at_s: float
    spec: JobSpec
    kind: str
    run_s: float
    cancel_s: float | None = None


@dataclass(frozen=True, slots=True)
class Workload:
    """The jobs of one run, the customers, and the workers that fail every task."""

    arrivals: tuple[Arrival, ...]
    customers: dict[str, CustomerSpec]
    failing_workers: tuple[str, ...]
    end_s: float


_SHAPES = {
    # kind: members, accelerators, adjacency, seconds of run time, share of load
    "small": (1, 1, "worker", (20, 240), 0.35),
    "medium": (1, 4, "worker", (60, 600), 0.25),
    "gang": (4, 8, "rack", (120, 900), 0.25),
    "largest": (8, 8, "rack", (120, 900), 0.15),
}


def make_workload(
    seed: int, workers: int, accelerators: int, load: float, end_s: float
) -> Workload:
    """Return a workload that asks for ``load`` of the accelerators on average.

    Declared run times are too long or too short by a factor of up to ten. Jobs of
    all sizes arrive in bursts, small jobs are cancelled in waves, guarantees are
    claimed while the cluster is full, and one worker fails every task.
    """
    rng = random.Random(seed)
    capacity = workers * accelerators * end_s * load
    arrivals: list[Arrival] = []
    for kind, (members, size, adjacency, runs, share) in _SHAPES.items():
        mean = sum(runs) / 2 * members * size
        count = int(capacity * share / mean)
        for at_s in _make_times(rng, count, end_s, burst=8 if size == 1 else 3):
            number = len(arrivals)
            arrivals.append(
                _make_arrival(rng, kind, number, at_s, members, size, adjacency, runs)
            )
    arrivals = _cancel_waves(rng, arrivals, end_s)
    arrivals += _make_claims(rng, end_s)
    arrivals.sort(key=lambda arrival: arrival.at_s)
    failing = (f"w{rng.randrange(workers)}",)
    return Workload(tuple(arrivals), _make_customers(), failing, end_s)


def _make_customers() -> dict[str, CustomerSpec]:
    cells = (Cell(8, 2), Cell(32, 1))
    owner = CustomerSpec("claims", 4, (Guarantee(HALL, cells),))
    others = [CustomerSpec(f"c{n}", 1 + n) for n in range(3)]
    return {spec.name: spec for spec in (owner, *others)}


def _make_times(rng, count, end_s, burst) -> list[float]:
    times: list[float] = []
    while len(times) < count:
        at_s = rng.uniform(0, end_s)
        for _ in range(rng.randint(1, burst)):
            times.append(at_s + rng.uniform(0, 5))
    return sorted(times[:count])


def _make_arrival(rng, kind, number, at_s, members, size, adjacency, runs) -> Arrival:
    run_s = rng.uniform(*runs)
    error_factor = MAX_DECLARATION_ERROR ** rng.uniform(-1, 1)
    spec = JobSpec(
        job_id=f"{kind}-{number}",
        customer=f"c{rng.randrange(3)}",
        members=members,
        accelerators=size,
        adjacency=adjacency,
        kind=kind,
        declared_s=run_s * error_factor,
    )
    return Arrival(at_s, spec, kind, run_s)


def _cancel_waves(rng, arrivals, end_s) -> list[Arrival]:
    waves = [rng.uniform(0, end_s) for _ in range(4)]
    changed = []
    for arrival in arrivals:
        cancel_s = None
        for wave_s in waves:
            soon_after_arrival = 0 < wave_s - arrival.at_s < 120
            if soon_after_arrival and arrival.kind == "small" and rng.random() < 0.5:
                cancel_s = wave_s
        changed.append(
            Arrival(arrival.at_s, arrival.spec, arrival.kind, arrival.run_s, cancel_s)
        )
    return changed


def _make_claims(rng, end_s) -> list[Arrival]:
    claims = []
    for number in range(12):
        members, size, adjacency = rng.choice(((1, 8, "worker"), (4, 8, "rack")))
        run_s = rng.uniform(60, 300)
        spec = JobSpec(
            job_id=f"claim-{number}",
            customer="claims",
            members=members,
            accelerators=size,
            adjacency=adjacency,
            kind="claim",
            declared_s=run_s,
            guaranteed=True,
        )
        at_s = end_s * (number + 0.5) / 12
        claims.append(Arrival(at_s, spec, "claim", run_s))
    return claims
