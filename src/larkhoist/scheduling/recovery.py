"""Find the attempts of an earlier owner in the workers' reports."""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from larkhoist.log.objects import JobSpec
from larkhoist.placement.index import MemberPlace
from larkhoist.ports.worker import TaskReport
from larkhoist.scheduling.attempt import Member, MemberState, get_member_state

__all__ = ["FoundAttempt", "find_newest_attempt"]


@dataclass(frozen=True, slots=True)
class FoundAttempt:
    """The newest reported attempt of a job; ``number`` is 0 if there is none.

    A member that no worker reported counts as gone.
    """

    number: int
    members: list[Member]


def find_newest_attempt(
    spec: JobSpec, reports: Mapping[str, tuple[TaskReport, ...]]
) -> FoundAttempt:
    """Return the newest attempt of a job; ``reports`` holds the tasks by worker."""
    found: dict[int, dict[int, Member]] = defaultdict(dict)
    for worker, tasks in reports.items():
        for task in tasks:
            if task.job_id == spec.job_id:
                found[task.attempt][task.member] = _make_member(worker, task)
    newest = max(found, default=0)
    members = [
        found[newest].get(index, Member(MemberPlace("", 0), MemberState.GONE))
        for index in range(spec.members)
    ]
    return FoundAttempt(newest, members)


def _make_member(worker: str, task: TaskReport) -> Member:
    return Member(
        MemberPlace(worker, task.accelerators),
        get_member_state(task.state),
        task.checkpointed,
        task.elapsed_s,
    )
