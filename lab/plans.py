"""Define the plans of simulated days, which scale to any number of workers."""

from dataclasses import replace

from lab.kinds import (
    Burst,
    CrashingWork,
    DayPlan,
    FailingWorkers,
    JobKind,
    LeavingWorkers,
    SlowWorkers,
)
from larkhoist.ports.fleet import Resources

__all__ = ["PLANS", "make_plan"]

BASE_WORKERS = 270
"""The number of workers for which the rates below are given."""
PREVIEW = JobKind(
    name="preview",
    priority=1,
    per_s=1.72,
    worth=3.0,
    late_worth=1.5,
    stretch=3.0,
    target_s=1.0,
    attempts=2,
    work_s=8.5,
    work_spread=0.3,
    max_work_s=11.0,
    width=13.0,
    width_spread=0.8,
    max_width=76,
    cpu_milli=13_000,
    memory_mb=26_000,
    accelerators=(1, 2, 4, 8, 8),
    gang=True,
    same_rack=0.6,
    checkpoints=0.45,
    data_rack=0.3,
    cancelled=0.05,
    fails=0.005,
    estimate_error=0.5,
    task_variation=0.15,
    initial_jobs=27,
)
PROOF = JobKind(
    name="proof",
    priority=0,
    per_s=6.84,
    worth=4.0,
    late_worth=0.8,
    stretch=1.5,
    target_s=0.25,
    attempts=2,
    work_s=2.5,
    work_spread=0.5,
    max_work_s=8.0,
    width=5.3,
    width_spread=0.8,
    max_width=32,
    cpu_milli=3_700,
    memory_mb=9_800,
    accelerators=(1, 2, 4, 8, 8),
    gang=True,
    same_rack=0.8,
    fails=0.05,
    estimate_error=0.2,
    task_variation=0.3,
)
CHECK = JobKind(
    name="check",
    priority=2,
    per_s=2.1,
    worth=1.0,
    late_worth=0.5,
    stretch=3.0,
    target_s=3.0,
    attempts=4,
    work_s=6.1,
    work_spread=0.3,
    max_work_s=11.0,
    width=38.0,
    width_spread=0.8,
    max_width=230,
    cpu_milli=2_800,
    memory_mb=4_100,
    accelerators=(1,),
    second_step=0.3,
    checkpoints=0.45,
    data_rack=0.12,
    spread_limit=0.12,
    cancelled=0.15,
    always_fails=0.03,
    fails=0.02,
    estimate_error=0.9,
    task_variation=0.15,
    initial_jobs=31,
)
CALM = DayPlan(
    name="calm",
    kinds=(PREVIEW, PROOF, CHECK),
    workers=BASE_WORKERS,
    per_rack=20,
    room=Resources(32_000, 65_536, 8),
    customers=24,
    guaranteed=0.4,
    speeds=(1.0, 1.0, 1.3),
)
BURSTS = replace(
    CALM,
    name="bursts",
    load=1.1,
    bursts=(Burst("preview", 8.7, 3.5, 2.3), Burst("proof", 5.1, 6.0, 2.0)),
)
FAULTS = replace(
    BURSTS,
    name="faults",
    load=1.0,
    faults=(SlowWorkers(6.0, 7.0, 0.17, 6.5), FailingWorkers(10.7, 7.0, 0.07)),
)
CRASHES = replace(CALM, name="crashes", load=0.75, faults=(CrashingWork(0.01),))
HEAVY = JobKind(
    name="heavy",
    priority=1,
    per_s=4.2,
    worth=3.0,
    late_worth=1.5,
    stretch=3.0,
    target_s=1.0,
    attempts=2,
    work_s=12.0,
    work_spread=0.3,
    max_work_s=20.0,
    width=6.0,
    width_spread=0.5,
    max_width=20,
    cpu_milli=13_000,
    memory_mb=26_000,
    accelerators=(1,),
    fails=0.005,
    estimate_error=0.5,
    task_variation=0.15,
    initial_jobs=50,
)
"""Two tasks nearly fill a worker's processors and memory but use few accelerators."""
NARROW = JobKind(
    name="narrow",
    priority=2,
    per_s=12.0,
    worth=1.0,
    late_worth=0.5,
    stretch=3.0,
    target_s=3.0,
    attempts=4,
    work_s=6.0,
    work_spread=0.3,
    max_work_s=11.0,
    width=6.0,
    width_spread=0.5,
    max_width=20,
    cpu_milli=2_800,
    memory_mb=4_100,
    accelerators=(1,),
    fails=0.02,
    estimate_error=0.9,
    task_variation=0.15,
    initial_jobs=70,
)
SCARCE = replace(CALM, name="scarce", kinds=(HEAVY, NARROW), guaranteed=0.75)
"""Processors and memory are scarce; accelerators are not, but most are guaranteed."""
SHIFTED_PREVIEW = replace(
    PREVIEW,
    per_s=0.93,
    attempts=4,
    memory_mb=34_000,
    data_rack=0.0,
    estimate_error=0.2,
    initial_jobs=11,
)
SHIFTED_PROOF = replace(PROOF, per_s=8.61, width=5.4, memory_mb=5_500)
SHIFTED_CHECK = replace(
    CHECK,
    per_s=0.91,
    attempts=2,
    work_s=7.6,
    width=39.0,
    memory_mb=5_700,
    task_variation=0.3,
    data_rack=0.0,
    initial_jobs=14,
)
SHIFTED = replace(
    CALM,
    name="shifted",
    kinds=(SHIFTED_PREVIEW, SHIFTED_PROOF, SHIFTED_CHECK),
    customers=10,
    guaranteed=0.62,
    save_s=0.5,
)
"""A preview task takes more than half of a worker's memory, so a worker never holds
two; other tasks beside it leave remainders too small to use, though less than two
thirds of each resource is in use overall."""
SHIFTED_BURSTS = replace(
    SHIFTED,
    name="shifted-bursts",
    load=1.1,
    bursts=(Burst("preview", 6.0, 3.6, 2.2), Burst("proof", 4.0, 6.0, 2.2)),
)
DEPARTURES = replace(
    CALM,
    name="departures",
    kinds=(
        replace(PREVIEW, width=6.0, max_width=12, spread_limit=0.3),
        replace(PROOF, width=4.0, max_width=8, spread_limit=0.3),
        replace(CHECK, spread_limit=0.6, label=0.2),
    ),
    per_rack=6,
    load=0.45,
    faults=(LeavingWorkers(2.0, 8.0, 0.6),),
)
"""With most workers gone, steps are wider than their spread limits and labels allow
to run at a time."""
UNEVEN_PREVIEW = replace(
    PREVIEW,
    per_s=1.15,
    late_worth=0.9,
    attempts=3,
    work_s=7.2,
    max_work_s=26.0,
    cpu_milli=26_000,
    memory_mb=110_000,
    data_rack=0.3,
    fails=0.02,
    estimate_error=0.2,
    initial_jobs=14,
)
UNEVEN_PROOF = replace(
    PROOF,
    per_s=3.9,
    target_s=0.3,
    attempts=4,
    work_s=2.1,
    cpu_milli=7_500,
    memory_mb=31_000,
    width=5.4,
    task_variation=0.15,
)
UNEVEN_CHECK = replace(
    CHECK,
    per_s=1.4,
    late_worth=0.3,
    attempts=2,
    work_s=5.2,
    max_work_s=20.0,
    width=39.0,
    cpu_milli=5_600,
    memory_mb=16_000,
    always_fails=0.01,
    fails=0.005,
    estimate_error=0.5,
    task_variation=0.3,
    initial_jobs=18,
)
UNEVEN = replace(
    CALM,
    name="uneven",
    kinds=(UNEVEN_PREVIEW, UNEVEN_PROOF, UNEVEN_CHECK),
    per_rack=12,
    room=Resources(64_000, 262_144, 8),
    customers=10,
    guaranteed=0.62,
    speeds=(0.6, 1.0, 1.6),
)
"""An urgent gang may take 1.5 times its work and 0.3 s, so it is late if one of its
members runs on a worker of the slowest third."""
UNEVEN_BURSTS = replace(
    UNEVEN,
    name="uneven-bursts",
    load=1.2,
    bursts=(Burst("preview", 11.0, 4.3, 2.3), Burst("proof", 3.0, 6.0, 2.2)),
)
PLANS = {
    plan.name: plan
    for plan in (
        CALM,
        BURSTS,
        FAULTS,
        CRASHES,
        SCARCE,
        SHIFTED,
        SHIFTED_BURSTS,
        DEPARTURES,
        UNEVEN,
        UNEVEN_BURSTS,
    )
}


def make_plan(name: str, workers: int, load: float = 1.0) -> DayPlan:
    """Return a plan whose arrival rates, but not job sizes, scale with ``workers``.

    ``load`` multiplies the plan's own load.
    """
    plan = PLANS[name]
    scale = workers / BASE_WORKERS
    kinds = tuple(
        replace(
            kind,
            per_s=kind.per_s * scale,
            initial_jobs=round(kind.initial_jobs * scale),
        )
        for kind in plan.kinds
    )
    return replace(plan, kinds=kinds, workers=workers, load=plan.load * load)
