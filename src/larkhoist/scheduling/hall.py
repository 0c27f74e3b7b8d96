"""Schedule the jobs of one data hall.

The scheduler is a state machine without I/O. Its inputs are the log, the workers'
reports and the time; it returns the commands to send and the records to append. The
daemon and the replay both use it.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping

from larkhoist.codes import Code
from larkhoist.log.fold import count_early_loss
from larkhoist.log.objects import CustomerSpec, JobSpec
from larkhoist.log.records import JobFinished, JobRequeued
from larkhoist.placement.index import MemberPlace
from larkhoist.ports.worker import TaskCommand, TaskReport, TaskState, Verb
from larkhoist.scheduling.accelerators import Accelerators
from larkhoist.scheduling.attempt import Attempt, Member, Phase
from larkhoist.scheduling.drain import choose_reservation, predict_clear_times
from larkhoist.scheduling.effect import Append, Effect, Send
from larkhoist.scheduling.guarantee_book import GuaranteeBook
from larkhoist.scheduling.hall_job import HallJob, JobPhase
from larkhoist.scheduling.policy import SchedulingPolicy
from larkhoist.scheduling.quarantine import Quarantine
from larkhoist.scheduling.queue_order import get_queue_key
from larkhoist.scheduling.recovery import find_newest_attempt
from larkhoist.scheduling.runtime import RuntimeLearner
from larkhoist.scheduling.victims import BorrowedUse, find_cheapest_places

__all__ = ["HallScheduler", "create_hall_scheduler"]

PLACEMENT_INTERVAL_S = 1.0
SINGLE_MEMBER_PATIENCE_FACTOR = 10.0
_ACTIVE_TASKS = (TaskState.PREPARED, TaskState.RUNNING, TaskState.THROTTLED)


class HallScheduler:
    """Place, run and end the jobs of one data hall."""

    def __init__(self, hall: str, policy: SchedulingPolicy):
        self.hall = hall
        self.policy = policy
        self.accelerators = Accelerators()
        self.jobs: dict[str, HallJob] = {}
        self._guarantees = GuaranteeBook(hall, self.accelerators.firm)
        self.learner = RuntimeLearner()
        self.quarantine = Quarantine()
        self._jobs_by_worker: dict[str, set[str]] = defaultdict(set)
        self._changed_jobs: set[str] = set()
        self._waiting: set[str] = set()
        self._next_placement_s = float("-inf")
        self._usable: dict[str, bool] = {}

    # Inputs.

    def add_worker(self, name: str, rack: str, size: int) -> None:
        """Add a worker of the hall."""
        self.accelerators.add_worker(name, rack, size)
        self._usable[name] = True

    def remove_worker(self, name: str) -> None:
        """Remove a worker from the hall; the members on it are lost."""
        self.note_idle(name)
        self.accelerators.remove_worker(name)
        del self._usable[name]

    def set_usable(self, name: str, usable: bool) -> None:
        """Set whether new members may be placed on a worker."""
        if self._usable[name] != usable:
            self._next_placement_s = float("-inf")
        self._usable[name] = usable
        self.accelerators.set_usable(name, usable)

    def set_customers(self, customers: Mapping[str, CustomerSpec]) -> None:
        """Replace the customers and their guarantees."""
        self._guarantees.customers = dict(customers)

    def add_job(
        self,
        spec: JobSpec,
        attempt: int,
        now_s: float,
        recovering: bool = False,
        failures: int = 0,
        early_losses: int = 0,
    ) -> None:
        """Add a job to the hall; ``recovering`` means that it may already run.

        ``failures`` and ``early_losses`` are the counts in the log so far.
        """
        phase = JobPhase.RECOVERING if recovering else JobPhase.WAITING
        job = HallJob(spec, now_s, attempt, phase)
        job.failures = failures
        job.early_losses = early_losses
        self.jobs[spec.job_id] = job
        if phase is JobPhase.WAITING:
            self._note_waiting(spec.job_id)

    def cancel_job(self, job_id: str, now_s: float) -> list[Effect]:
        """Cancel a job at its customer's request."""
        job = self.jobs[job_id]
        if job.cancelled:
            return []
        job.cancelled = True
        if job.phase is JobPhase.WAITING:
            return self._end_job(job, Code.JOB_CANCELLED)
        if job.phase is JobPhase.ACTIVE:
            self._changed_jobs.add(job_id)
            return job.current.stop(Code.JOB_CANCELLED, now_s)
        return []

    def note_placed(self, job_id: str, attempt: int, workers: tuple[str, ...]) -> None:
        """Record that, according to the log, an attempt was placed on ``workers``."""
        if job_id in self.jobs:
            self.jobs[job_id].placed_attempt = attempt
            self.jobs[job_id].placed_workers = workers
            self._changed_jobs.add(job_id)

    def note_ended(self, job_id: str) -> list[Effect]:
        """Remove a job that has ended according to the log."""
        job = self.jobs.pop(job_id, None)
        if job is None:
            return []
        self._release(job)
        return job.current.forget() if job.current is not None else []

    def note_command(self, command: TaskCommand, done: bool | None) -> None:
        """Apply the outcome of a command; ``done`` is None if there was no answer."""
        job = self.jobs.get(command.job_id)
        if job is None or job.current is None:
            return
        if job.current.number == command.attempt:
            self._changed_jobs.add(command.job_id)
            job.current.note_command(command.member, command.verb, done)

    def note_report(self, worker: str, tasks: tuple[TaskReport, ...]) -> list[Effect]:
        """Apply a worker's full report.

        Returns the commands that stop or forget the tasks of other attempts on it.
        """
        by_attempt: dict[tuple[str, int], dict[int, TaskReport]] = defaultdict(dict)
        for task in tasks:
            by_attempt[(task.job_id, task.attempt)][task.member] = task
        for job_id in self._jobs_by_worker[worker]:
            attempt = self.jobs[job_id].current
            found = by_attempt.pop((job_id, attempt.number), {})
            attempt.note_reports(worker, found)
            self._changed_jobs.add(job_id)
        return self._clear_stray_tasks(worker, by_attempt)

    def note_idle(self, worker: str) -> None:
        """Mark the members on ``worker`` as gone: all tasks there have stopped."""
        for job_id in self._jobs_by_worker[worker]:
            self.jobs[job_id].current.note_idle((worker,))
            self._changed_jobs.add(job_id)

    def recover(
        self,
        reports: Mapping[str, tuple[TaskReport, ...]],
        log_current: bool,
        is_known: Callable[[str], bool],
        now_s: float,
    ) -> list[Effect]:
        """Take over the jobs that may run, once the tenure is settled.

        A tenure is settled when each worker has granted its lease or must have stopped
        its tasks (``is_known``). ``reports`` holds the last report of each worker in
        this tenure; a job that is in none of them does not run.

        A job that is not repeatable waits until the log has been read to its end in
        this tenure (``log_current``), because an earlier owner may have started it. A
        job that the log has on a worker which left the list waits until that worker
        must have stopped its tasks.
        """
        effects: list[Effect] = []
        for job in self.jobs.values():
            if job.phase is not JobPhase.RECOVERING:
                continue
            if not log_current and not job.spec.repeatable:
                continue
            if all(map(is_known, job.placed_workers)):
                effects += self._recover_job(job, reports, now_s)
        return effects

    def has_recovering(self) -> bool:
        """Tell whether any job still waits to be taken over."""
        return any(j.phase is JobPhase.RECOVERING for j in self.jobs.values())

    # Decisions.

    def decide(self, now_s: float) -> list[Effect]:
        """Advance the attempts that may have changed and place waiting jobs."""
        self._apply_quarantine(now_s)
        effects: list[Effect] = []
        # A running attempt needs no step until a report or command outcome arrives.
        changed, self._changed_jobs = self._changed_jobs, set()
        for job_id in sorted(changed):
            effects += self._step_job(job_id, now_s)
        if self._waiting and now_s >= self._next_placement_s:
            effects += self._place_waiting(now_s)
        return effects

    def _step_job(self, job_id: str, now_s: float) -> list[Effect]:
        job = self.jobs.get(job_id)
        if job is None or job.phase is not JobPhase.ACTIVE:
            return []
        placement_logged = job.placed_attempt >= job.current.number
        effects = job.current.step(now_s, placement_logged)
        if job.current.phase is Phase.ENDED:
            return effects + self._finish_attempt(job, now_s)
        if job.current.phase is not Phase.RUNNING:
            self._changed_jobs.add(job_id)
        return effects

    def explain(self, job_id: str, now_s: float) -> str:
        """Return a short text that says why a job waits or where it runs."""
        job = self.jobs.get(job_id)
        if job is None:
            return f"job {job_id} is not in data hall {self.hall}"
        if job.phase is JobPhase.ACTIVE:
            workers = sorted({m.place.worker for m in job.current.members})
            return f"{job.current.phase.value} on {', '.join(workers)}"
        if job.phase is not JobPhase.WAITING:
            return job.phase.value
        if job.held:
            return "waiting while borrowed accelerators are reclaimed"
        if job.reservation is not None:
            wait_s = max(0.0, job.reservation.ready_s - now_s)
            names = ", ".join(job.reservation.workers)
            return f"reserved {names}; expected to be clear in {wait_s:.0f} s"
        spec = job.spec
        free = self.accelerators.free.free_total
        return (
            f"waiting for {spec.members} x {spec.accelerators} accelerators "
            f"in one {spec.adjacency}; {free} are free"
        )

    # End of an attempt.

    def _finish_attempt(self, job: HallJob, now_s: float) -> list[Effect]:
        attempt = job.current
        code = Code(attempt.code)
        self._release(job)
        self._record_outcome(job, attempt, now_s)
        if job.cancelled and code is not Code.JOB_FINISHED:
            return self._end_job(job, Code.JOB_CANCELLED)
        if code in (Code.JOB_FINISHED, Code.JOB_CANCELLED):
            return self._end_job(job, code)
        if code in (Code.JOB_FAILED, Code.MEMBER_LOST):
            job.failures += code is Code.JOB_FAILED
            if job.failures >= self.policy.max_failures:
                return self._end_job(job, Code.JOB_FAILED)
        lost_early = self._check_early_loss(attempt, now_s)
        job.early_losses = count_early_loss(job.early_losses, lost_early)
        if job.early_losses >= self.policy.max_early_losses:
            return self._end_job(job, Code.MEMBER_LOST)
        ran = attempt.may_have_run and not attempt.is_checkpointed
        if ran and not job.spec.repeatable:
            return self._end_job(job, code)
        return self._requeue(job, code, lost_early)

    def _check_early_loss(self, attempt: Attempt, now_s: float) -> bool | None:
        if not attempt.lost_member:
            return None
        began_s = attempt.started_s or now_s
        return now_s - began_s < self.policy.early_loss_s

    def _requeue(
        self, job: HallJob, code: Code, lost_early: bool | None = None
    ) -> list[Effect]:
        job_id = job.spec.job_id
        record = JobRequeued(job_id, self.hall, job.attempt, code, lost_early)
        effects: list[Effect] = [Append(record)]
        if job.current is not None:
            effects += job.current.forget()
        job.current = None
        job.attempt += 1
        job.phase = JobPhase.WAITING
        self._note_waiting(job.spec.job_id)
        job.code = code
        return effects

    def _end_job(self, job: HallJob, code: Code) -> list[Effect]:
        self._drop_claims(job)
        self._waiting.discard(job.spec.job_id)
        job.phase = JobPhase.ENDING
        job.code = code
        record = JobFinished(job.spec.job_id, self.hall, job.attempt, code)
        return [Append(record)]

    def _record_outcome(self, job: HallJob, attempt: Attempt, now_s: float) -> None:
        workers = {member.place.worker for member in attempt.members}
        if attempt.code is Code.JOB_FINISHED:
            self.learner.note(job.spec, attempt.changed_s - attempt.started_s)
            for worker in workers:
                self.quarantine.note_success(worker)
        count = len(self.accelerators.workers)
        for worker in set(attempt.failed_workers):
            self.quarantine.note_failure(worker, job.spec.job_id, count, now_s)

    def _release(self, job: HallJob) -> None:
        if job.current is not None and job.phase is JobPhase.ACTIVE:
            self.accelerators.release(job.current.get_places())
            for place in job.current.get_places():
                self._jobs_by_worker[place.worker].discard(job.spec.job_id)
        self._waiting.discard(job.spec.job_id)
        self._drop_claims(job)
        self._next_placement_s = float("-inf")

    def _drop_claims(self, job: HallJob) -> None:
        self.accelerators.drop_hold(job.held)
        job.held = []
        if job.reservation is not None:
            self.accelerators.set_reserved(job.reservation.workers, False)
            job.reservation = None
        job.firm = False

    def _note_waiting(self, job_id: str) -> None:
        self._waiting.add(job_id)
        self._next_placement_s = float("-inf")

    def _note_active(self, job: HallJob) -> None:
        job.phase = JobPhase.ACTIVE
        self._waiting.discard(job.spec.job_id)
        self._changed_jobs.add(job.spec.job_id)
        for place in job.current.get_places():
            self._jobs_by_worker[place.worker].add(job.spec.job_id)

    def _apply_quarantine(self, now_s: float) -> None:
        for name, usable in self._usable.items():
            quarantined = self.quarantine.holds(name, now_s)
            self.accelerators.set_usable(name, usable and not quarantined)

    # Recovery and stray tasks, which belong to no current attempt.

    def _clear_stray_tasks(self, worker, by_attempt) -> list[Effect]:
        effects: list[Effect] = []
        for (job_id, number), tasks in by_attempt.items():
            job = self.jobs.get(job_id)
            if job is None or job.phase is JobPhase.RECOVERING:
                continue
            if job.phase is JobPhase.ENDING and number == job.attempt:
                continue
            for task in tasks.values():
                verb = Verb.STOP if task.state in _ACTIVE_TASKS else Verb.FORGET
                command = TaskCommand(verb, job_id, number, task.member)
                effects.append(Send(worker, command))
        return effects

    def _recover_job(self, job: HallJob, reports, now_s: float) -> list[Effect]:
        found = find_newest_attempt(job.spec, reports)
        newest = found.number
        job.attempt = max(job.attempt, newest)
        if newest < job.attempt:
            return self._recover_absent(job)
        members = found.members
        job.current = Attempt(
            job.spec, self.hall, newest, members, self.policy.times, changed_s=now_s
        )
        self._note_active(job)
        job.firm = job.spec.guaranteed and self._guarantees.fits(
            job, self.jobs.values()
        )
        places = [m.place for m in members if m.place.worker]
        self.accelerators.use(places, job.firm)
        placement_logged = job.placed_attempt >= newest
        return job.current.recover(placement_logged, now_s)

    def _recover_absent(self, job: HallJob) -> list[Effect]:
        if job.placed_attempt < job.attempt:
            job.phase = JobPhase.WAITING
            self._note_waiting(job.spec.job_id)
            return []
        if not job.spec.repeatable:
            return self._end_job(job, Code.MEMBER_LOST)
        return self._requeue(job, Code.MEMBER_LOST)

    # Placement.

    def _place_waiting(self, now_s: float) -> list[Effect]:
        self._next_placement_s = now_s + PLACEMENT_INTERVAL_S
        waiting = [self.jobs[job_id] for job_id in self._waiting]
        self._mark_firm([job for job in waiting if not job.held])
        waiting.sort(key=lambda job: get_queue_key(job, now_s))
        effects: list[Effect] = []
        failed: set[tuple[int, int, str]] = set()
        for job in waiting:
            effects += self._place_job(job, failed, now_s)
        return effects

    def _place_job(self, job: HallJob, failed: set, now_s: float) -> list[Effect]:
        if job.held:
            return self._place_held(job, now_s)
        places = None
        if job.reservation is not None:
            places = self._find_reserved(job)
        shape = job.get_shape()
        if places is None and shape not in failed:
            places = self._find_free(job, now_s)
            if places is None:
                failed.add(shape)
        if places is not None:
            return self._begin_attempt(job, places, now_s)
        if job.firm or job.spec.urgent:
            return self._reclaim_for(job, now_s)
        return self._reserve_for(job, now_s)

    def _find_free(self, job: HallJob, now_s: float) -> list[MemberPlace] | None:
        places = self.accelerators.free.find(*job.get_shape())
        if places is not None and job.firm and not self._keeps_guarantees(job, places):
            places = None
        if places is None and self.policy.backfill:
            places = self._find_backfill(job, now_s)
        return places

    def _find_reserved(self, job: HallJob) -> list[MemberPlace] | None:
        index = self.accelerators.make_subindex(job.reservation.workers)
        return index.find(*job.get_shape())

    def _find_backfill(self, job: HallJob, now_s: float) -> list[MemberPlace] | None:
        if job.firm or job.spec.urgent:
            return None
        ends_s = now_s + self.learner.predict(job.spec)
        names = [
            name
            for other in self.jobs.values()
            if other.reservation is not None and other.reservation.ready_s >= ends_s
            for name in other.reservation.workers
        ]
        if not names:
            return None
        return self.accelerators.make_subindex(names).find(*job.get_shape())

    def _begin_attempt(self, job, places, now_s) -> list[Effect]:
        firm = job.firm
        self._drop_claims(job)
        job.firm = firm
        members = [Member(place) for place in places]
        job.current = Attempt(
            job.spec, self.hall, job.attempt, members, self.policy.times
        )
        self._note_active(job)
        self.accelerators.use(places, firm)
        return job.current.begin(now_s)

    # Guarantees and reclaiming of borrowed accelerators.

    def check_guarantees(self) -> tuple[bool, str]:
        """Tell whether all unused guarantees can be met, and if not, why.

        Reclaimable accelerators count as free.
        """
        return self._guarantees.check(self.jobs.values())

    def _keeps_guarantees(self, job: HallJob, places: list[MemberPlace]) -> bool:
        self.accelerators.firm.take(places)
        covered, _ = self._guarantees.check(self.jobs.values(), job)
        self.accelerators.firm.give_back(places)
        return covered

    def _mark_firm(self, waiting: list[HallJob]) -> None:
        for job in waiting:
            job.firm = False
        claims = [job for job in waiting if job.spec.guaranteed]
        for job in sorted(claims, key=lambda job: (job.submitted_s, job.spec.job_id)):
            job.firm = self._guarantees.fits(job, self.jobs.values())

    def _reclaim_for(self, job: HallJob, now_s: float) -> list[Effect]:
        uses = self._list_reclaimable(job)
        places = find_cheapest_places(self.accelerators, job.spec, uses)
        if places is not None and job.firm and not self._keeps_guarantees(job, places):
            places = self._find_firm(job)
        if places is None:
            return []
        self.accelerators.hold(places)
        job.held = places
        return self._reclaim_places(places, uses, now_s)

    def _find_firm(self, job: HallJob) -> list[MemberPlace] | None:
        """Return places that split as few cells as possible, without held ones."""
        held = [place for other in self.jobs.values() for place in other.held]
        self.accelerators.firm.take(held)
        places = self.accelerators.firm.find(*job.get_shape())
        self.accelerators.firm.give_back(held)
        return places

    def _list_reclaimable(self, claimant: HallJob) -> dict[str, list[BorrowedUse]]:
        uses: dict[str, list[BorrowedUse]] = defaultdict(list)
        for job in self.jobs.values():
            if job.phase is not JobPhase.ACTIVE or job.firm:
                continue
            if job.spec.urgent and not claimant.firm:
                continue
            cost = float(job.spec.total)
            for member in job.current.members:
                place = member.place
                use = BorrowedUse(job.spec.job_id, place.mask, cost)
                uses[place.worker].append(use)
        return uses

    def _reclaim_places(self, places, uses, now_s) -> list[Effect]:
        victims: dict[str, None] = {}
        for place in places:
            for use in uses.get(place.worker, ()):
                if use.mask & place.mask:
                    victims[use.job_id] = None
        effects: list[Effect] = []
        for job_id in victims:
            attempt = self.jobs[job_id].current
            if attempt.phase not in (Phase.RECLAIMING, Phase.STOPPING, Phase.ENDED):
                effects += attempt.reclaim(now_s)
                self._changed_jobs.add(job_id)
        return effects

    def _place_held(self, job: HallJob, now_s: float) -> list[Effect]:
        if not self.accelerators.are_usable(job.held):
            firm = job.firm
            self._drop_claims(job)
            job.firm = firm
            return []
        if not self.accelerators.is_clear(job.held):
            return []
        return self._begin_attempt(job, job.held, now_s)

    # Reservations.

    def _reserve_for(self, job: HallJob, now_s: float) -> list[Effect]:
        if job.reservation is not None:
            return self._drain_reservation(job, now_s)
        patience_s = self.policy.patience_s
        if job.spec.members == 1:
            patience_s *= SINGLE_MEMBER_PATIENCE_FACTOR
        if now_s - job.submitted_s < patience_s:
            return []
        reserved = [
            name
            for other in self.jobs.values()
            if other.reservation is not None
            for name in other.reservation.workers
        ]
        clear_times = predict_clear_times(
            self.jobs.values(), self._predict_median, now_s
        )
        found = choose_reservation(
            self.accelerators,
            job.spec,
            clear_times,
            lambda name: not self.accelerators.workers[name].reserved,
            now_s,
        )
        if found is None:
            return []
        limit = self.policy.reserved_share * len(self.accelerators.workers)
        if reserved and len(reserved) + len(found.workers) > limit:
            return []
        job.reservation = found
        self.accelerators.set_reserved(found.workers, True)
        return []

    def _drain_reservation(self, job: HallJob, now_s: float) -> list[Effect]:
        reservation = job.reservation
        if not self._is_reservation_usable(job):
            self.accelerators.set_reserved(reservation.workers, False)
            job.reservation = None
            return []
        late = now_s - reservation.created_s > self.policy.drain_s
        if not late or reservation.reclaimed:
            return []
        reservation.reclaimed = True
        uses = self._list_reclaimable(job)
        places = [
            MemberPlace(name, self.accelerators.workers[name].busy)
            for name in reservation.workers
        ]
        return self._reclaim_places(places, uses, now_s)

    def _is_reservation_usable(self, job: HallJob) -> bool:
        places = [MemberPlace(name, 0) for name in job.reservation.workers]
        return self.accelerators.are_usable(places)

    def _predict_median(self, spec: JobSpec) -> float:
        return self.learner.predict(spec, quantile=0.5)


def create_hall_scheduler(hall: str, policy: SchedulingPolicy) -> HallScheduler:
    """Return a scheduler without workers or jobs."""
    return HallScheduler(hall, policy)
