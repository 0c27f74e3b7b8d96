"""Print the time and memory costs of core operations at increasing sizes."""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable, Sequence

import msgspec

from larkhoist.log.fold import fold_batch
from larkhoist.log.objects import Cell, CustomerSpec, Guarantee, JobSpec
from larkhoist.log.records import (
    Batch,
    ClaimMade,
    CustomerPut,
    JobPut,
    PlanConfirmed,
    PlanProposed,
    decode_batch,
    encode_batch,
)
from larkhoist.log.snapshot import SnapshotAssembler, decode_part, split_state
from larkhoist.log.state import ClusterState
from larkhoist.membership.peers import Gossip, encode_message
from larkhoist.ownership.tenure import LeaseTerms, Tenure
from larkhoist.placement.index import FreeIndex
from larkhoist.ports.worker import LeaseReply, LeaseRequest, TaskReport, TaskState
from larkhoist.requests.policy import RequestPolicy
from larkhoist.requests.upstream_set import UpstreamSet
from larkhoist.scheduling.hall import create_hall_scheduler
from larkhoist.scheduling.policy import SchedulingPolicy

__all__ = ["print_costs"]

WORKERS_PER_RACK = 8
ACCELERATORS = 8
ACCELERATOR_COUNTS = (1_024, 4_096, 16_384, 34_000)
UPSTREAM_COUNTS = (24, 240, 1_200, 2_400)
RECORD_COUNTS = (1_000, 4_000, 16_000, 64_000)
ROUNDS = 30


def time_median(call: Callable[[], object], rounds: int = ROUNDS) -> float:
    """Return the median seconds of one call."""
    durations_s = []
    for _ in range(rounds):
        began_s = time.perf_counter()
        call()
        durations_s.append(time.perf_counter() - began_s)
    return sorted(durations_s)[rounds // 2]


def measure_memory(make: Callable[[], object]) -> tuple[object, int]:
    """Return the result of ``make`` and the bytes still allocated after the call."""
    gc.collect()
    tracemalloc.start()
    result = make()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return result, held_bytes


def print_costs() -> None:
    """Print the cost tables of all operations."""
    _print_placement()
    _print_routing()
    _print_fold()
    _print_owner()
    _print_messages()


def _make_index(accelerators: int, rng: random.Random) -> FreeIndex:
    index = FreeIndex()
    for number in range(accelerators // ACCELERATORS):
        name = f"w{number}"
        index.add_worker(name, f"r{number // WORKERS_PER_RACK}", ACCELERATORS)
        # About half of the workers are free; the others have random free accelerators.
        if rng.random() < 0.5:
            index.set_free(name, rng.getrandbits(ACCELERATORS))
    return index


def _print_placement() -> None:
    gangs = ((8, 1, "worker"), (8, 8, "rack"), (64, 8, "hall"), (1024, 1, "hall"))
    print("placing a gang and taking its places, median us")
    names = [f"{m}x{a} {adjacency}" for m, a, adjacency in gangs]
    print(f"  {'accelerators':>12} " + " ".join(f"{name:>14}" for name in names))
    for count in ACCELERATOR_COUNTS:
        index = _make_index(count, random.Random(1))
        cells = []
        for gang in gangs:

            def place(gang=gang, index=index):
                places = index.find(*gang)
                if places is not None:
                    index.take(places)
                return places

            if place() is None:
                cells.append("no room")
                continue
            durations_s = []
            for _ in range(ROUNDS):
                began_s = time.perf_counter()
                places = place()
                durations_s.append(time.perf_counter() - began_s)
                if places is not None:
                    index.give_back(places)
            cells.append(f"{sorted(durations_s)[ROUNDS // 2] * 1e6:.0f}")
        print(f"  {count:>12} " + " ".join(f"{cell:>14}" for cell in cells))


def _print_routing() -> None:
    print("routing decision with begin and finish, median us")
    for count in UPSTREAM_COUNTS:
        upstreams = UpstreamSet(RequestPolicy())
        for number in range(count):
            upstreams.put(f"u{number}", 8, 0.0)
        for _ in range(count * 4):
            upstreams.begin(upstreams.choose(0.0), 0.0)

        def route(upstreams=upstreams):
            name = upstreams.choose(1.0)
            upstreams.begin(name, 1.0)
            upstreams.finish(name, True, 1.0)

        seconds = time_median(lambda: [route() for _ in range(100)]) / 100
        print(f"  {count:>12} upstreams {seconds * 1e6:>8.1f}")


def _make_batches(count: int) -> list[bytes]:
    """Return batches in the record mix of a day at the target size.

    A batch counts as 20 records; a plan's proposal and its confirmation count as one.
    """
    batches = []
    for number in range(count // 20):
        records = []
        for part in range(20):
            name = f"{number}-{part}"
            if part % 10 == 0:
                records.append(JobPut(JobSpec(name, f"team-{part}", 8, 8)))
            elif part % 10 == 1:
                guarantee = Guarantee(f"hall-{part}", (Cell(8, 4),))
                spec = CustomerSpec(f"team-{number % 530}", 4, (guarantee,))
                records.append(PlanProposed(name, number, "o", (CustomerPut(spec),)))
                records.append(PlanConfirmed(name, "o"))
            else:
                records.append(ClaimMade("main", name, name * 4, "entry", part))
        batches.append(encode_batch(Batch("w", number + 1, number, tuple(records))))
    return batches


def _fold_all(batches: Sequence[bytes]) -> ClusterState:
    state = ClusterState()
    for offset, data in enumerate(batches):
        fold_batch(state, offset, decode_batch(data))
    return state


def _print_fold() -> None:
    print("folding and snapshots")
    print(
        f"  {'records':>8} {'fold us/record':>14} {'bytes/record':>12} "
        f"{'held B/record':>13} {'snapshot ms':>11} {'load ms':>8} {'KB':>7}"
    )
    for count in RECORD_COUNTS:
        batches = _make_batches(count)
        began_s = time.perf_counter()
        _fold_all(batches)
        fold_s = time.perf_counter() - began_s
        state, held_bytes = measure_memory(lambda batches=batches: _fold_all(batches))
        parts: list[bytes] = []
        split_s = time_median(lambda s=state: split_state(s, 256 * 1024), 3)
        parts = split_state(state, 256 * 1024)

        def load(parts=parts):
            assembler = SnapshotAssembler()
            for part in parts:
                assembler.add(decode_part(part))

        load_s = time_median(load, 3)
        size = sum(map(len, batches))
        print(
            f"  {count:>8} {fold_s / count * 1e6:>14.1f} {size / count:>12.0f} "
            f"{held_bytes / count:>13.0f} {split_s * 1e3:>11.1f} {load_s * 1e3:>8.1f} "
            f"{sum(map(len, parts)) / 1024:>7.0f}"
        )


def _make_hall(workers: int, jobs: int, members: int):
    scheduler = create_hall_scheduler("hall", SchedulingPolicy())
    for number in range(workers):
        scheduler.add_worker(
            f"w{number}", f"r{number // WORKERS_PER_RACK}", ACCELERATORS
        )
    for number in range(jobs):
        spec = JobSpec(f"j{number}", "c", members, 1, "rack")
        scheduler.add_job(spec, 1, 0.0)
    reports: dict[str, list[TaskReport]] = {}
    for effect in scheduler.decide(0.0):
        command = getattr(effect, "command", None)
        if command is not None:
            scheduler.note_command(command, True)
            task = TaskReport(
                command.job_id,
                command.attempt,
                command.member,
                TaskState.RUNNING,
                command.accelerators,
            )
            reports.setdefault(effect.worker, []).append(task)
    for effect in scheduler.decide(0.0):
        command = getattr(effect, "command", None)
        if command is not None:
            scheduler.note_command(command, True)
    scheduler.decide(0.0)
    return scheduler, {name: tuple(tasks) for name, tasks in reports.items()}


def _print_owner() -> None:
    print("owner of a hall: one round of reports and one decision")
    print(
        f"  {'workers':>8} {'tasks':>7} {'report us':>9} {'idle decide us':>14} "
        f"{'memory MB':>9} {'B/task':>7}"
    )
    for workers in (64, 208, 416, 832):
        jobs = workers * ACCELERATORS // 8

        def make(workers=workers, jobs=jobs):
            return _make_hall(workers, jobs, 8)

        (scheduler, reports), held_bytes = measure_memory(make)
        tasks = sum(map(len, reports.values()))

        def report_all(scheduler=scheduler, reports=reports):
            for name, found in reports.items():
                scheduler.note_report(name, found)

        report_s = time_median(report_all, 5) / len(reports)
        scheduler.decide(1.0)
        idle_s = time_median(lambda s=scheduler: s.decide(2.0))
        print(
            f"  {workers:>8} {tasks:>7} {report_s * 1e6:>9.1f} {idle_s * 1e6:>14.1f} "
            f"{held_bytes / 2**20:>9.2f} {held_bytes / max(1, tasks):>7.0f}"
        )
    terms = LeaseTerms()
    tenure = Tenure("i", terms)
    tenure.set_workers({f"w{n}" for n in range(832)}, 0.0)
    tenure.begin(0.0)
    update_s = time_median(lambda: tenure.update(1.0))
    print(f"  tenure update over 832 workers: {update_s * 1e6:.0f} us")


def _print_messages() -> None:
    print("messages, bytes")
    task = TaskReport("job-123", 1, 3, TaskState.RUNNING, 255, 12.5)
    request = LeaseRequest("hall-a-entry-0/12345678", 12, 3.0, 10.0)
    for tasks in (0, 1, 8):
        reply = LeaseReply(True, "hall-a-entry-0/12345678", 12, 3.0, (task,) * tasks)
        size = len(msgspec.json.encode(request)) + len(msgspec.json.encode(reply))
        print(f"  lease request and reply with {tasks} tasks: {size}")
    for upstreams in (0, 24):
        load = {f"hall-a-runner-{n}": 5 for n in range(upstreams)}
        gossip = Gossip(
            "i", "h", "10.0.0.1:9000", 10**6, 1000, True, False, 3, load, load, 77
        )
        size = len(encode_message(gossip))
        print(f"  gossip with {upstreams} upstreams: {size}")
