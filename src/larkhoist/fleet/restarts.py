"""Handle workers that restarted under the same name."""

from collections.abc import Collection

from larkhoist.fleet.crashes import count_losses
from larkhoist.fleet.proofs import WorkerRestarted
from larkhoist.fleet.state import FleetState
from larkhoist.fleet.task import Phase, Task, TaskState
from larkhoist.fleet.worker import FleetWorker

__all__ = ["begin_incarnation", "release_lost_tasks"]


def begin_incarnation(
    state: FleetState,
    worker: FleetWorker,
    started_ms: int,
    now_s: float,
    present: Collection[tuple[str, int]] = (),
) -> None:
    """Discard the state of a worker's former incarnation.

    ``present`` holds the attempts, as (task, attempt), that the later incarnation has
    reported. The others are over once a report that is requested from now on lacks
    them: that request carries a higher fencing token, after which the worker refuses
    all earlier calls.
    """
    tasks = [
        (phase, task)
        for phase, task in state.list_tasks_on(worker)
        if (task.name, task.attempt) not in present
    ]
    state.note(
        "worker-restarted",
        worker=worker.name,
        born_ms=started_ms,
        former_born_ms=worker.incarnation.started_ms,
        tasks=len(tasks),
        seen=worker.seen,
        heard_age_s=round(now_s - worker.heard_s, 3),
    )
    for phase, task in tasks:
        if task.state is TaskState.STARTING:
            # The start may still be sent with the higher token, so it must be stopped.
            state.stop(phase, task, now_s)
        else:
            task.settled_s = now_s
    state.settle_as_crashes(worker.name, started_ms, worker.address)
    worker.begin_incarnation(started_ms, now_s)
    # The later incarnation may have carried out delayed calls to the former one.
    state.extend_lease(worker, now_s, state.policy.lease_s)
    state.quarantine.forget(worker.name)
    state.speeds.forget(worker.name)
    state.changed = True


def release_lost_tasks(
    state: FleetState,
    worker: FleetWorker,
    lost: list[tuple[Phase, Task]],
    now_s: float,
) -> None:
    """Release tasks that ended with the former incarnation of their worker."""
    proof = WorkerRestarted(worker.was_leaving)
    count_losses(lost, worker, proof, now_s)
    for phase, task in lost:
        state.release(phase, task, proof, now_s)
