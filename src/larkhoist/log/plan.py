"""Describe the changes of a plan and check whether it may be confirmed."""

from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from larkhoist.codes import Code
from larkhoist.log.objects import CustomerSpec, JobSpec
from larkhoist.log.records import (
    Change,
    CustomerPut,
    CustomerRemoved,
    JobPut,
    ServicePut,
    ServiceRemoved,
)
from larkhoist.log.state import ClusterState
from larkhoist.placement.guarantee import can_cover, count_cells
from larkhoist.placement.index import FreeIndex
from larkhoist.ports.platform import Instance
from larkhoist.problem import Problem

__all__ = ["PlanLine", "check_job", "check_plan", "describe_plan", "make_hall_indexes"]


class PlanLine(msgspec.Struct, frozen=True):
    """One line of a plan as shown to the operator."""

    action: str
    object: str
    detail: str


def describe_plan(state: ClusterState, changes: Iterable[Change]) -> list[PlanLine]:
    """Return a line for each change."""
    return [_describe_change(state, change) for change in changes]


def check_plan(
    state: ClusterState,
    changes: Iterable[Change],
    halls: Mapping[str, FreeIndex],
) -> list[Problem]:
    """Return every reason why the plan must be refused.

    ``halls`` holds an index of each data hall with all accelerators free.
    """
    changes = list(changes)
    customers = dict(state.customers)
    for change in changes:
        match change:
            case CustomerPut(spec):
                customers[spec.name] = spec
            case CustomerRemoved(name):
                customers.pop(name, None)
    problems = []
    if any(isinstance(change, CustomerPut) for change in changes):
        problems += _check_guarantees(customers, halls)
    for change in changes:
        match change:
            case JobPut(spec):
                problems += check_job(spec, customers, halls)
            case CustomerRemoved(name) if name not in state.customers:
                problems.append(_make_not_found_problem("remove.customers", name))
            case ServiceRemoved(name) if name not in state.services:
                problems.append(_make_not_found_problem("remove.services", name))
    return problems


def check_job(
    spec: JobSpec,
    customers: Mapping[str, CustomerSpec],
    halls: Mapping[str, FreeIndex],
) -> list[Problem]:
    """Return every reason why a job can never run."""
    problems = []
    if spec.customer not in customers:
        problems.append(
            _make_not_found_problem(f"job {spec.job_id} customer", spec.customer)
        )
    candidates = {n: i for n, i in halls.items() if spec.hall in ("", n)}
    shape = (spec.members, spec.accelerators, spec.adjacency)
    if not any(index.find(*shape) for index in candidates.values()):
        problems.append(
            Problem(
                Code.JOB_NEVER_RUNNABLE,
                field=f"job {spec.job_id}",
                value=f"{spec.members} x {spec.accelerators} in one {spec.adjacency}",
                remedy="ask for fewer accelerators or a wider adjacency",
            )
        )
    return problems


def make_hall_indexes(instances: Iterable[Instance]) -> dict[str, FreeIndex]:
    """Return an index with all accelerators free for each data hall."""
    halls: dict[str, FreeIndex] = {}
    for instance in instances:
        if instance.kind == "worker" and instance.accelerators:
            index = halls.setdefault(instance.hall, FreeIndex())
            index.add_worker(instance.name, instance.rack, instance.accelerators)
    return halls


def _check_guarantees(customers, halls) -> list[Problem]:
    problems = []
    hall_names = {g.hall for spec in customers.values() for g in spec.guarantees}
    for hall in sorted(hall_names):
        cells: Counter[int] = Counter()
        for spec in customers.values():
            for guarantee in spec.guarantees:
                if guarantee.hall == hall:
                    cells.update(count_cells(guarantee.cells))
        covered, reason = _check_coverage(halls.get(hall), cells)
        if not covered:
            problems.append(
                Problem(
                    Code.GUARANTEE_DOES_NOT_FIT,
                    field=f"guarantees in {hall}",
                    detail=reason,
                    remedy="guarantee fewer or smaller cells in this data hall",
                )
            )
    return problems


def _check_coverage(index: FreeIndex | None, cells: Counter[int]) -> tuple[bool, str]:
    if index is None:
        return False, "the data hall has no workers"
    return can_cover(index, cells, index.get_largest_size())


def _make_not_found_problem(field: str, name: str) -> Problem:
    return Problem(Code.NOT_FOUND, field=field, value=name, remedy="correct the name")


def _describe_change(state: ClusterState, change: Change) -> PlanLine:
    match change:
        case CustomerPut(spec):
            cells = ", ".join(
                f"{guarantee.hall}: {cell.count} x {cell.accelerators}"
                for guarantee in spec.guarantees
                for cell in guarantee.cells
            )
            action = "change" if spec.name in state.customers else "create"
            detail = f"share {spec.share}; guaranteed {cells or 'nothing'}"
            return PlanLine(action, f"customer/{spec.name}", detail)
        case ServicePut(spec):
            action = "change" if spec.name in state.services else "create"
            detail = f"timeout {spec.timeout_ms} ms"
            return PlanLine(action, f"service/{spec.name}", detail)
        case JobPut(spec):
            action = "keep" if spec.job_id in state.jobs else "submit"
            detail = f"{spec.members} x {spec.accelerators} in one {spec.adjacency}"
            return PlanLine(action, f"job/{spec.job_id}", detail)
        case CustomerRemoved(name):
            return PlanLine("remove", f"customer/{name}", "")
        case ServiceRemoved(name):
            return PlanLine("remove", f"service/{name}", "")
