"""Combine the records of one step's progress, which are whole or hold one block.

An owner writes the progress of a wide step in blocks if its settings ask for it, and
otherwise as a whole. A step may have records of both kinds, of several owners. An owner
may also have stopped after it appended some of the blocks that one decision changed.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
from msgspec.structs import replace

from larkhoist.jobs.records import (
    BlockId,
    BlockProgress,
    PhaseId,
    PhaseProgress,
    RecordedLoss,
    TaskProgress,
    count_block_tasks,
    get_first_task,
)
from larkhoist.jobs.spec import StepSpec

__all__ = ["StoredProgress", "combine_progress"]


@dataclass(frozen=True, slots=True)
class StoredProgress:
    """A record of the progress of a step with its offset on the stream."""

    offset: int
    record: PhaseProgress | BlockProgress

    @property
    def id(self) -> PhaseId | BlockId:
        """Return what the record is about."""
        match self.record:
            case PhaseProgress(phase):
                return phase
            case BlockProgress(phase, number):
                return BlockId(phase, number)


def combine_progress(
    spec: StepSpec, stored: Iterable[StoredProgress]
) -> PhaseProgress | None:
    """Return the progress of a step from all its records.

    Of two records about the same task, the one with the higher offset counts. The
    newest record gives ``since_ms``, the largest ``failed_attempt`` counts. Returns
    None if a block doesn't fit the step: it is then unknown which tasks it is about.
    """
    records = [each.record for each in sorted(stored, key=lambda each: each.offset)]
    newest = records[-1]
    tasks = [TaskProgress()] * spec.count
    losses: list[RecordedLoss] = []
    for record in records:
        first, width = 0, spec.count
        if isinstance(record, BlockProgress):
            first = get_first_task(record.number)
            width = count_block_tasks(spec.count, record.number)
            if len(record.tasks) != width:
                return None
        recorded = record.tasks[:width]
        tasks[first : first + len(recorded)] = recorded
        replaced = range(first, first + len(recorded))
        losses = [loss for loss in losses if loss.index not in replaced]
        losses += [loss for loss in record.losses or () if loss.index in replaced]
    if spec.gang:
        checkpoint = newest.tasks[0].checkpoint if newest.tasks else ""
        tasks = _align_members(tasks, checkpoint)
    failed_attempt = max(record.failed_attempt for record in records)
    return PhaseProgress(
        newest.phase,
        tuple(tasks),
        failed_attempt,
        newest.since_ms,
        tuple(losses) or msgspec.UNSET,
    )


def _make_done(task: TaskProgress) -> TaskProgress:
    return TaskProgress(task.attempt, done=True, failures=task.failures, lost=task.lost)


def _align_members(tasks: list[TaskProgress], checkpoint: str) -> list[TaskProgress]:
    """Apply to all members of a gang what may be recorded in some blocks only.

    A decision that ends a gang, counts its failure or stores its checkpoint changes all
    members. For the latter two only the block of the member that is released is
    written. If a member stayed unfinished, it would run again after the gang's end.
    """
    if any(task.done_earlier for task in tasks):
        # An earlier attempt is done: members that may still run are to be stopped.
        return [
            replace(task, done_earlier=True) if task.worker else _make_done(task)
            for task in tasks
        ]
    if any(task.done for task in tasks):
        return [_make_done(task) for task in tasks]
    failures = max(task.failures for task in tasks)
    return [replace(task, failures=failures, checkpoint=checkpoint) for task in tasks]
