"""Define the proofs that an attempt of a task does not run any more.

An attempt that may run keeps its room on its worker until there is one of these proofs.
Only then does the scheduler start the task again.
"""

from dataclasses import dataclass
from typing import ClassVar, get_args

from larkhoist.codes import Code
from larkhoist.ports.task_worker import EndKind

__all__ = [
    "PROOF_NAMES",
    "AbsentFromReport",
    "EndListed",
    "GangDone",
    "LeaseOver",
    "NeverSent",
    "Proof",
    "StartRefused",
    "WorkerReplaced",
    "WorkerRestarted",
    "describe_proof",
]


@dataclass(frozen=True, slots=True)
class EndListed:
    """The worker listed the end of the attempt."""

    NAME: ClassVar[str] = "end_listed"
    kind: EndKind


@dataclass(frozen=True, slots=True)
class GangDone:
    """Another member of the gang was listed as done, so the whole gang is."""

    NAME: ClassVar[str] = "gang_done"
    member: str


@dataclass(frozen=True, slots=True)
class StartRefused:
    """The worker refused the start, and no earlier try may have been carried out."""

    NAME: ClassVar[str] = "start_refused"
    code: Code
    detail: str = ""


@dataclass(frozen=True, slots=True)
class NeverSent:
    """The start was dropped before it was sent, or no connection could be made."""

    NAME: ClassVar[str] = "never_sent"


@dataclass(frozen=True, slots=True)
class AbsentFromReport:
    """A report doesn't name the attempt.

    It was requested at ``asked_s``, later than ``settled_s``, after which no order
    could begin the attempt; both are monotonic seconds.
    """

    NAME: ClassVar[str] = "absent_from_report"
    asked_s: float
    settled_s: float


@dataclass(frozen=True, slots=True)
class LeaseOver:
    """The last lease that the worker may have ended at ``lease_end_s``."""

    NAME: ClassVar[str] = "lease_over"
    lease_end_s: float


@dataclass(frozen=True, slots=True)
class WorkerReplaced:
    """Another incarnation answered at the worker's address."""

    NAME: ClassVar[str] = "worker_replaced"


@dataclass(frozen=True, slots=True)
class WorkerRestarted:
    """The worker restarted under the same name, and its report lacks the attempt.

    ``was_leaving`` is set if the former incarnation had announced that it leaves.
    """

    NAME: ClassVar[str] = "worker_restarted"
    was_leaving: bool = False


Proof = (
    EndListed
    | GangDone
    | StartRefused
    | NeverSent
    | AbsentFromReport
    | LeaseOver
    | WorkerReplaced
    | WorkerRestarted
)


PROOF_NAMES = tuple(kind.NAME for kind in get_args(Proof))
"""The names of all proofs, for metrics."""


def describe_proof(proof: Proof, now_s: float) -> dict[str, object]:
    """Return the log fields of a proof; ages are in seconds."""
    match proof:
        case EndListed(kind):
            return {"how": kind.value}
        case GangDone(member):
            return {"member": member}
        case StartRefused(code, detail):
            return {"reason": code.name, "detail": detail}
        case AbsentFromReport(asked_s, settled_s):
            return {
                "report_age_s": round(now_s - asked_s, 3),
                "settled_age_s": round(now_s - settled_s, 3),
            }
        case LeaseOver(lease_end_s):
            return {"over_for_s": round(now_s - lease_end_s, 3)}
        case _:
            return {}
