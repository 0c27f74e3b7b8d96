"""Run one attempt of a gang: either all of its members run or none does.

All members are prepared before any is started. If one fails to start, is lost or
fails, the others are stopped. The attempt ends only when every member is known to
have stopped.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from larkhoist.codes import Code
from larkhoist.log.objects import JobSpec
from larkhoist.log.records import JobPlaced
from larkhoist.placement.index import MemberPlace
from larkhoist.ports.worker import TaskCommand, TaskReport, TaskState, Verb
from larkhoist.scheduling.effect import Append, Effect, Send

__all__ = [
    "Attempt",
    "AttemptTimes",
    "Member",
    "MemberState",
    "Phase",
    "get_member_state",
]


@dataclass(frozen=True, slots=True)
class AttemptTimes:
    """Time limits of an attempt, in seconds.

    ``hold_s`` is how long a worker keeps a prepared member that is not started.
    """

    prepare_s: float = 3.0
    hold_s: float = 6.0
    start_s: float = 3.0
    resend_s: float = 0.5
    checkpoint_grace_s: float = 1.0
    throttle_grace_s: float = 1.0


class Phase(Enum):
    """Phase of an attempt.

    ``NOTING`` waits until the log says that the attempt was placed.
    """

    PREPARING = "preparing"
    NOTING = "noting"
    STARTING = "starting"
    RUNNING = "running"
    RECLAIMING = "reclaiming"
    STOPPING = "stopping"
    ENDED = "ended"


_STARTED_PHASES = (Phase.STARTING, Phase.RUNNING, Phase.RECLAIMING)


class MemberState(Enum):
    """Last known state of one member.

    ``GONE`` means that the member was stopped or lost.
    """

    ASKED = "asked"
    PREPARED = "prepared"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    GONE = "gone"


_MEMBER_STATES = {
    TaskState.PREPARED: MemberState.PREPARED,
    TaskState.RUNNING: MemberState.RUNNING,
    TaskState.THROTTLED: MemberState.RUNNING,
    TaskState.FINISHED: MemberState.FINISHED,
    TaskState.FAILED: MemberState.FAILED,
    TaskState.STOPPED: MemberState.GONE,
}
_ENDED_STATES = (MemberState.FINISHED, MemberState.FAILED, MemberState.GONE)
_STARTED_STATES = (MemberState.RUNNING, MemberState.FINISHED)


def get_member_state(state: TaskState) -> MemberState:
    """Return the member state that corresponds to a reported task state."""
    return _MEMBER_STATES[state]


@dataclass(slots=True)
class Member:
    """One member of an attempt."""

    place: MemberPlace
    state: MemberState = MemberState.ASKED
    checkpointed: bool = False
    elapsed_s: float = 0.0


@dataclass(slots=True)
class Attempt:
    """One attempt to run a job.

    ``code`` is the result once the attempt has ended. ``lost_member`` tells whether a
    member was lost with its worker after the start.
    """

    spec: JobSpec
    hall: str
    number: int
    members: list[Member]
    times: AttemptTimes
    phase: Phase = Phase.PREPARING
    changed_s: float = 0.0
    sent_s: float = 0.0
    started_s: float = 0.0
    throttled: bool = False
    may_have_run: bool = False
    code: Code = Code.JOB_FINISHED
    failed_workers: list[str] = field(default_factory=list)
    lost_member: bool = False

    def begin(self, now_s: float) -> list[Effect]:
        """Return the commands that prepare every member on its worker."""
        self._enter(Phase.PREPARING, now_s)
        self.sent_s = now_s
        return [
            self._make_command(index, Verb.PREPARE)
            for index in range(len(self.members))
        ]

    def recover(self, placement_logged: bool, now_s: float) -> list[Effect]:
        """Continue an earlier owner's attempt from the states that workers reported.

        If at least one member has started and all others are prepared, those are
        started too. If a member is missing or none has started, the attempt is stopped.
        ``placement_logged`` tells whether the log says that the attempt was placed; a
        job that is not repeatable starts only after that.
        """
        self.may_have_run = placement_logged or self.spec.repeatable
        states = {member.state for member in self.members}
        self.started_s = now_s - max(member.elapsed_s for member in self.members)
        if states <= set(_STARTED_STATES):
            self._enter(Phase.RUNNING, now_s)
            return [self._append_placement()]
        if states <= {MemberState.PREPARED, *_STARTED_STATES} and states & set(
            _STARTED_STATES
        ):
            return self._begin_start(now_s)
        return self.stop(Code.MEMBER_LOST, now_s)

    def note_command(self, index: int, verb: Verb, done: bool | None) -> None:
        """Apply the outcome of a command; ``done`` is None if there was no answer."""
        member = self.members[index]
        match verb, done:
            case Verb.PREPARE, True:
                if member.state is MemberState.ASKED:
                    member.state = MemberState.PREPARED
            case Verb.PREPARE, _:
                if done is False:
                    self.failed_workers.append(member.place.worker)
                if self.phase is Phase.PREPARING:
                    self.code = Code.START_INCOMPLETE
                    self.phase = Phase.STOPPING
                    self.sent_s = float("-inf")
            case Verb.START, True:
                if member.state is MemberState.PREPARED:
                    member.state = MemberState.RUNNING
            case Verb.CHECKPOINT, True:
                member.checkpointed = True
            case _:
                pass

    def note_reports(self, worker: str, tasks: dict[int, TaskReport]) -> None:
        """Apply a worker's report, which lists every task of this attempt on it."""
        for index, member in enumerate(self.members):
            if member.place.worker != worker or member.state in _ENDED_STATES:
                continue
            report = tasks.get(index)
            if report is None:
                self._note_missing(member)
            else:
                member.state = get_member_state(report.state)
                member.checkpointed |= report.checkpointed
                member.elapsed_s = report.elapsed_s

    def note_idle(self, workers: Iterable[str]) -> None:
        """Mark the members on ``workers`` as gone: all tasks there have stopped."""
        idle = set(workers)
        for member in self.members:
            if member.place.worker in idle and member.state not in _ENDED_STATES:
                member.state = MemberState.GONE
                self.lost_member |= self.phase in _STARTED_PHASES

    def step(self, now_s: float, placement_logged: bool) -> list[Effect]:
        """Advance the attempt as far as its members' states and the time allow.

        ``placement_logged`` tells whether the log says that it was placed.
        """
        match self.phase:
            case Phase.PREPARING:
                return self._step_preparing(now_s)
            case Phase.NOTING:
                return self._begin_start(now_s) if placement_logged else []
            case Phase.STARTING:
                return self._step_starting(now_s)
            case Phase.RUNNING:
                return self._step_running(now_s)
            case Phase.RECLAIMING:
                return self._step_reclaiming(now_s)
            case Phase.STOPPING:
                return self._step_stopping(now_s)
            case _:
                return []

    def stop(self, code: Code, now_s: float) -> list[Effect]:
        """Stop every member; the attempt will end with ``code``."""
        if self.phase in (Phase.STOPPING, Phase.ENDED):
            return []
        self.code = code
        self._enter(Phase.STOPPING, now_s)
        self.sent_s = float("-inf")
        return self._step_stopping(now_s)

    def reclaim(self, now_s: float) -> list[Effect]:
        """Reclaim the accelerators; a running attempt may write a checkpoint first."""
        if self.phase is not Phase.RUNNING:
            return self.stop(Code.RECLAIMED, now_s)
        self._enter(Phase.RECLAIMING, now_s)
        return self._command_all(Verb.CHECKPOINT)

    def forget(self) -> list[Effect]:
        """Return the commands that make the workers forget the members."""
        return [
            self._make_command(index, Verb.FORGET) for index in range(len(self.members))
        ]

    def get_places(self) -> list[MemberPlace]:
        """Return the places of all members."""
        return [member.place for member in self.members]

    @property
    def is_checkpointed(self) -> bool:
        """Tell whether every member has written a checkpoint."""
        return all(member.checkpointed for member in self.members)

    def _enter(self, phase: Phase, now_s: float) -> None:
        self.phase = phase
        self.changed_s = now_s

    def _step_preparing(self, now_s: float) -> list[Effect]:
        if all(m.state is MemberState.PREPARED for m in self.members):
            if self.spec.repeatable:
                return self._begin_start(now_s)
            self._enter(Phase.NOTING, now_s)
            return [self._append_placement()]
        late = now_s - self.changed_s > self.times.prepare_s
        if late or any(m.state in _ENDED_STATES for m in self.members):
            return self.stop(Code.START_INCOMPLETE, now_s)
        return []

    def _begin_start(self, now_s: float) -> list[Effect]:
        self.may_have_run = True
        self._enter(Phase.STARTING, now_s)
        self.sent_s = now_s
        return self._send_starts()

    def _send_starts(self) -> list[Effect]:
        return [
            self._make_command(index, Verb.START)
            for index, member in enumerate(self.members)
            if member.state is MemberState.PREPARED
        ]

    def _step_starting(self, now_s: float) -> list[Effect]:
        if all(m.state in _STARTED_STATES for m in self.members):
            self._enter(Phase.RUNNING, now_s)
            self.started_s = now_s
            placed = [self._append_placement()] if self.spec.repeatable else []
            return placed + self._step_running(now_s)
        if any(m.state in (MemberState.FAILED, MemberState.GONE) for m in self.members):
            return self._stop_for_failure(now_s, Code.START_INCOMPLETE)
        if now_s - self.changed_s > self.times.start_s:
            return self.stop(Code.START_INCOMPLETE, now_s)
        if now_s - self.sent_s >= self.times.resend_s:
            self.sent_s = now_s
            return self._send_starts()
        return []

    def _step_running(self, now_s: float) -> list[Effect]:
        if all(m.state is MemberState.FINISHED for m in self.members):
            self.code = Code.JOB_FINISHED
            self._enter(Phase.ENDED, now_s)
            return []
        if any(m.state in (MemberState.FAILED, MemberState.GONE) for m in self.members):
            return self._stop_for_failure(now_s, Code.MEMBER_LOST)
        return []

    def _stop_for_failure(self, now_s: float, default_code: Code) -> list[Effect]:
        self.failed_workers = [
            m.place.worker for m in self.members if m.state is MemberState.FAILED
        ]
        code = Code.JOB_FAILED if self.failed_workers else default_code
        return self.stop(code, now_s)

    def _step_reclaiming(self, now_s: float) -> list[Effect]:
        effects = self._step_running(now_s)
        if self.phase is not Phase.RECLAIMING:
            return effects
        waited_s = now_s - self.changed_s
        limit_s = self.times.checkpoint_grace_s
        if self.is_checkpointed:
            return self.stop(Code.RECLAIMED, now_s)
        if not self.throttled and waited_s > limit_s:
            self.throttled = True
            return self._command_all(Verb.THROTTLE) + self._command_all(Verb.CHECKPOINT)
        if waited_s > limit_s + self.times.throttle_grace_s:
            return self.stop(Code.RECLAIMED, now_s)
        return []

    def _step_stopping(self, now_s: float) -> list[Effect]:
        if all(member.state in _ENDED_STATES for member in self.members):
            self._enter(Phase.ENDED, now_s)
            return []
        if now_s - self.sent_s < self.times.resend_s:
            return []
        self.sent_s = now_s
        return self._command_all(Verb.STOP)

    def _note_missing(self, member: Member) -> None:
        # The command to prepare this member may still be in transit. If it arrives
        # later, the worker drops the member after ``hold_s``.
        if self.phase is Phase.STOPPING or member.state is not MemberState.ASKED:
            member.state = MemberState.GONE
            self.lost_member |= self.phase in _STARTED_PHASES

    def _command_all(self, verb: Verb) -> list[Effect]:
        return [
            self._make_command(index, verb)
            for index, member in enumerate(self.members)
            if member.state not in _ENDED_STATES
        ]

    def _make_command(self, index: int, verb: Verb) -> Send:
        place = self.members[index].place
        if verb is not Verb.PREPARE:
            command = TaskCommand(verb, self.spec.job_id, self.number, index)
            return Send(place.worker, command)
        command = TaskCommand(
            verb,
            self.spec.job_id,
            self.number,
            index,
            accelerators=place.mask,
            payload=self.spec.payload,
            hold_s=self.times.hold_s,
        )
        return Send(place.worker, command)

    def _append_placement(self) -> Append:
        workers = tuple(dict.fromkeys(m.place.worker for m in self.members))
        record = JobPlaced(self.spec.job_id, self.hall, self.number, workers)
        return Append(record)
