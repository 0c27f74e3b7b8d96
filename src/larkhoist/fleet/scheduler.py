"""Schedule staged jobs on the workers of one scope.

The scheduler is a pure state machine. Its methods take input from the log, the
workers and the clocks, and ``decide`` returns the records to append and the calls to
send.
"""

from collections.abc import Iterable, Iterator, Mapping

from larkhoist.codes import Code
from larkhoist.fleet.crashes import has_given_up_task
from larkhoist.fleet.departure import Unannounced, is_departing
from larkhoist.fleet.departure_stops import stop_tasks_in_time
from larkhoist.fleet.effects import Round
from larkhoist.fleet.guarantees import mark_firm
from larkhoist.fleet.incarnation import IncarnationOrder
from larkhoist.fleet.placement import place_waiting
from larkhoist.fleet.policy import FleetPolicy
from larkhoist.fleet.proofs import (
    LeaseOver,
    NeverSent,
    WorkerReplaced,
)
from larkhoist.fleet.reports import (
    handle_report,
    handle_start_answer,
    handle_stop_answer,
    handle_worker_gone,
)
from larkhoist.fleet.restarts import begin_incarnation
from larkhoist.fleet.silent_leases import LeaseNote, SilentLeases
from larkhoist.fleet.speed_notes import SpeedNotes
from larkhoist.fleet.state import FleetState
from larkhoist.fleet.task import TaskState
from larkhoist.fleet.worker import FleetWorker, create_worker
from larkhoist.jobs.registry import JobRegistry, StagedJobEntry
from larkhoist.ports.fleet import ListedTaskWorker, Resources
from larkhoist.ports.task_worker import WorkerReport

__all__ = ["FleetScheduler", "create_fleet_scheduler"]

PLACEMENT_INTERVAL_S = 0.5
"""How often placement of waiting tasks is tried again while nothing changes."""
TASKS_LOADED_PER_PART = 1000


class FleetScheduler:
    """Place, run and end staged jobs."""

    def __init__(self, policy: FleetPolicy, began_s: float):
        self.state = FleetState(policy)
        self._guarantees: dict[str, int] = {}
        self._began_s = began_s
        self._next_placement_s = float("-inf")
        self._next_stop_s = float("inf")
        self._has_more = False
        self._added_job_ids: set[str] = set()
        self._replaced_started_ms: dict[str, int] = {}
        self._silent_leases = SilentLeases()
        self._speed_notes = SpeedNotes()

    # Inputs.

    def set_guarantees(self, guarantees: Mapping[str, int]) -> None:
        """Set the number of guaranteed accelerators by customer."""
        self._guarantees = dict(guarantees)
        self.state.changed = True

    def set_cordoned_halls(self, halls: frozenset[str]) -> None:
        """Set the data halls that get no new work; running tasks continue there."""
        state = self.state
        before, state.cordoned_halls = state.cordoned_halls, halls
        for hall in sorted(before ^ halls):
            event = "hall-cordoned" if hall in halls else "hall-cordon-lifted"
            workers = [w for w in state.workers.values() if w.hall == hall]
            tasks = sum(len(worker.tasks) for worker in workers)
            state.note(event, hall=hall, workers=len(workers), tasks=tasks)
            state.changed = True

    def update_workers(self, listed: Iterable[ListedTaskWorker], now_s: float) -> None:
        """Update the workers from the platform's list."""
        workers = self.state.workers
        names = set()
        for entry in listed:
            names.add(entry.name)
            if self._is_replaced_incarnation(entry):
                # The entry of a replaced worker may stay on the list. Adding it would
                # call the worker again after every read of the list.
                continue
            worker = workers.get(entry.name)
            if worker is None or not worker.service:
                self._add_worker(entry, now_s)
            else:
                self._update_worker(worker, entry, now_s)
        self._replaced_started_ms = {
            name: started_ms
            for name, started_ms in self._replaced_started_ms.items()
            if name in names
        }
        for name, worker in workers.items():
            if name not in names and worker.listed:
                self._unlist(worker, now_s)

    def add_job(self, entry: StagedJobEntry, now_s: float, now_ms: int) -> None:
        """Add a job that was read from the log."""
        # A job that ended in this term may be read again before its outcome is read.
        if entry.job.job_id in self._added_job_ids:
            return
        self._added_job_ids.add(entry.job.job_id)
        if entry.unreadable:
            # Counts as added: if the registry is loaded again during this term, the
            # entry no longer tells that progress was unreadable.
            return
        for progress in entry.phases.values():
            for task in progress.tasks:
                if task.worker and task.worker not in self.state.workers:
                    self._add_unlisted(task.worker, task.address)
        active = self.state.add_job(entry, now_s, now_ms)
        self.state.close_broken_gangs(active, now_s)
        self.state.stop_done_tasks(active, now_s)
        if active.ended:
            for phase in active.phases.values():
                for task in phase.tasks:
                    self.state.stop(phase, task, now_s)
        elif entry.cancelled:
            self.cancel_job(entry.job.job_id, now_s, now_ms)
        elif active.is_out_of_attempts or has_given_up_task(active):
            # The log holds the last failure or lost worker, but not the outcome.
            self.state.end_job(active, Code.JOB_FAILED, now_s, now_ms)

    def load_jobs(self, registry: JobRegistry, now_s: float, now_ms: int) -> None:
        """Add every job of the registry that holds more than an outcome.

        Also apply the leases and the speeds that a former owner recorded.
        """
        for _ in self.load_jobs_in_parts(registry, now_s, now_ms):
            pass

    def load_jobs_in_parts(
        self, registry: JobRegistry, now_s: float, now_ms: int
    ) -> Iterator[None]:
        """Load the jobs as ``load_jobs`` does, and yield between bounded parts.

        Jobs that are added to the registry meanwhile are left out.
        """
        added = 0
        for entry in list(registry.entries.values()):
            if entry.job is None:
                continue
            before = self.state.task_count
            self.add_job(entry, now_s, now_ms)
            added += 1 + self.state.task_count - before
            if added >= TASKS_LOADED_PER_PART:
                added = 0
                yield
        for worker in self.state.workers.values():
            if worker.listed:
                # It may have come up in place of one that a former owner lost.
                started_ms = worker.incarnation.started_ms
                self.state.settle_as_crashes(worker.name, started_ms, worker.address)
        self._silent_leases.take_over(
            registry.remaining_leases_s, self.state.workers, now_s
        )
        self._speed_notes.take_over(registry, self.state.speeds)

    def cancel_job(self, job_id: str, now_s: float, now_ms: int) -> None:
        """End a job that its submitter has cancelled."""
        active = self.state.jobs.get(job_id)
        if active is not None:
            self.state.end_job(active, Code.JOB_CANCELLED, now_s, now_ms)

    def grant_lease(self, worker: str, now_s: float) -> float | None:
        """Return the lease for a call that is about to be sent to a worker, in seconds.

        None means that the call must not grant a lease, since no task may run there or
        the worker's leases are withheld.
        """
        found = self.state.workers.get(worker)
        if found is None or not found.tasks or self._silent_leases.withholds(worker):
            return None
        policy = self.state.policy
        lease_s = policy.lease_s
        if is_departing(found.departure, now_s, policy.unlisted_grace_s):
            lease_s = min(lease_s, policy.departing_lease_s)
        self.state.extend_lease(found, now_s, lease_s)
        return lease_s

    def take_lease_note(self, note: LeaseNote) -> list[str]:
        """Apply a lease note once it is on the log; return who may get leases again."""
        return self._silent_leases.grant(note)

    def note_silent(self, worker: str, asked_s: float, reason: str = "") -> None:
        """Note that a call to a worker at ``asked_s`` got no answer.

        ``reason`` is the error of the call, for the log.
        """
        found = self.state.workers[worker]
        if found.silent:
            return
        found.silent = True
        found.silent_s = asked_s
        self.state.changed = True
        self.state.note(
            "worker-silent",
            worker=worker,
            tasks=len(found.tasks),
            leaving=found.leaving,
            heard_age_s=round(asked_s - found.heard_s, 4),
            seen=found.seen,
            lease_left_s=round(found.lease_end_s - asked_s, 3),
            reason=reason,
        )
        if not found.hall:
            return
        if self.state.doubts.note_silent(found.hall, worker, asked_s):
            self._probe_hall(found.hall)

    def note_refused(self, worker: str) -> None:
        """Note that a worker refused to report; it gets no new tasks until it answers.

        Each start that is sent to it would extend its lease and so delay the release of
        its tasks: when a worker refused all calls for 40 s, they waited for 39 s.
        """
        found = self.state.workers[worker]
        if found.silent:
            return
        found.silent = True
        self.state.changed = True
        self.state.note("worker-refuses", worker=worker, tasks=len(found.tasks))

    def note_heard(self, worker: str, asked_s: float) -> None:
        """Note that a worker answered a call that was made at ``asked_s``."""
        found = self.state.workers[worker]
        if found.silent:
            found.silent = False
            self.state.changed = True
            self.state.note("worker-answers", worker=worker, tasks=len(found.tasks))
        if not self.state.is_usable(found, asked_s):
            self.state.changed = True
        found.heard_s = max(found.heard_s, asked_s)

    def handle_report(
        self,
        worker: str,
        report: WorkerReport,
        asked_s: float,
        now_s: float,
        now_ms: int,
    ) -> None:
        """Process a report that was requested at ``asked_s``."""
        found = self.state.workers[worker]
        handle_report(self.state, found, report, asked_s, now_s, now_ms)

    def handle_start_answer(
        self,
        task: str,
        attempt: int,
        code: Code | None,
        may_have_started: bool,
        now_s: float,
        detail: str = "",
    ) -> None:
        """Process the answer to a start order; a code of None means that it succeeded.

        ``may_have_started`` is set if an earlier try of the order may still start the
        task. ``detail`` is the worker's text for a refusal, for the log.
        """
        handle_start_answer(
            self.state, task, attempt, code, may_have_started, now_s, detail
        )

    def handle_stop_answer(self, task: str, attempt: int, now_s: float) -> None:
        """Process the answer to a stop order."""
        handle_stop_answer(self.state, task, attempt, now_s)

    def note_never_sent(self, task: str, attempt: int, now_s: float) -> None:
        """Note that a start order was dropped before it was sent."""
        found = self.state.find_task(task, attempt)
        if found is not None:
            self.state.release(*found, NeverSent(), now_s)

    def note_replaced(self, worker: str, now_s: float) -> None:
        """Note that another incarnation answers at a worker's address."""
        found = self.state.workers.get(worker)
        if found is not None:
            found.listed = False
            found.strays = {}
            self._replaced_started_ms[worker] = found.incarnation.started_ms
            handle_worker_gone(self.state, found, WorkerReplaced(), now_s)
            self.state.settle_as_crashes("", 0, found.address)

    def is_wanted(self, task: str, attempt: int) -> bool:
        """Tell whether a start that was decided earlier is still to be sent.

        While a start waits for the log or its worker, the worker may announce that it
        leaves, or its data hall may be cordoned.
        """
        found = self.state.find_task(task, attempt)
        if found is None or found[1].state is not TaskState.STARTING:
            return False
        worker = self.state.workers[found[1].worker]
        return not (worker.leaving or self.state.is_cordoned(worker))

    def is_busy(self, worker: str) -> bool:
        """Tell whether tasks, including strays, may run on a worker."""
        found = self.state.workers.get(worker)
        return found is not None and bool(found.tasks or found.strays)

    # Decisions.

    def decide(self, now_s: float, now_ms: int) -> Round:
        """Advance the state; return the records to append and the calls to send."""
        for _ in self.decide_in_parts(now_s, now_ms):
            pass
        return self.take_round(now_s, now_ms)

    def decide_in_parts(self, now_s: float, now_ms: int) -> Iterator[None]:
        """Advance the state as ``decide`` does, and yield between bounded parts.

        Until the last part is over, only leases may be granted; other input has to
        wait. Then ``take_round`` returns the effects.
        """
        state = self.state
        self._check_leases(now_s)
        state.settle_overdue(now_s)
        self._next_stop_s = stop_tasks_in_time(state, now_s)
        self._send_stops_again(now_s)
        self._end_finished_jobs(now_s, now_ms)
        for active in state.jobs.values():
            state.fold_done_runs(active, now_s)
            state.open_due_runs(active, now_s, now_ms)
        state.round.leases = self._silent_leases.update(state.workers.values(), now_s)
        self._speed_notes.update(state.speeds, state.workers, state.round, now_s)
        if state.changed or self._has_more or now_s >= self._next_placement_s:
            self._next_placement_s = now_s + PLACEMENT_INTERVAL_S
            mark_firm(state.jobs.values(), self._guarantees)
            state.changed = False
            self._has_more = yield from place_waiting(state, self._guarantees, now_s)

    def take_round(self, now_s: float, now_ms: int) -> Round:
        """Return the effects of a decision that has ended; both times are its time."""
        return self.state.take_round(now_s, now_ms)

    @property
    def has_more(self) -> bool:
        """Tell whether the last call to ``decide`` left placements for the next one."""
        return self._has_more

    def list_unlisted(self) -> list[FleetWorker]:
        """Return the workers that are not listed but have a known address."""
        workers = self.state.workers.values()
        return [w for w in workers if not w.listed and w.address]

    def get_next_due_s(self, now_s: float) -> float:
        """Return when something is due next, in monotonic seconds.

        That is a run of a scheduled job, a job whose time of submission is in the
        future, or the stop of tasks on a leaving worker. A stop that has fallen due
        since the last decision is due now.
        """
        due = [
            phase.due_s
            for active, phase in self.state.iter_phases()
            if not active.ended and phase.due_s > now_s
        ]
        due += [
            due_s
            for active in self.state.jobs.values()
            if not active.ended
            and active.has_unopened_runs
            # A run that is due already waits for others to be done.
            and (due_s := active.get_due_s(active.next_run)) > now_s
        ]
        return min([*due, self._next_stop_s])

    def list_unserved_s(self, now_s: float) -> list[float]:
        """Return for how many seconds each step with waiting tasks has started none."""
        return [
            now_s - phase.unserved_since_s
            for active, phase in self.state.iter_phases()
            if not active.ended and active.is_ready(phase, now_s) and phase.has_waiting
        ]

    def _check_leases(self, now_s: float) -> None:
        for worker in list(self.state.workers.values()):
            if now_s > worker.lease_end_s:
                worker.strays = {}
            if worker.tasks and now_s > worker.lease_end_s:
                proof = LeaseOver(worker.lease_end_s)
                handle_worker_gone(self.state, worker, proof, now_s)
            if not worker.tasks and not worker.listed and not worker.strays:
                self.state.note("worker-forgotten", worker=worker.name)
                del self.state.workers[worker.name]

    def _send_stops_again(self, now_s: float) -> None:
        resend_before_s = now_s - self.state.policy.resend_stop_s
        for worker in self.state.workers.values():
            if worker.silent and worker.has_left(now_s):
                continue
            for task in self.state.list_stopping_on(worker):
                if task.stop_sent_s <= resend_before_s:
                    self.state.send_stop(task, now_s)
            if worker.strays and worker.strays_stopped_s <= resend_before_s:
                self.state.send_stray_stops(worker, now_s)

    def _end_finished_jobs(self, now_s: float, now_ms: int) -> None:
        for active in list(self.state.jobs.values()):
            phases = active.phases.values()
            if not active.ended and active.is_done:
                self.state.end_job(active, Code.JOB_FINISHED, now_s, now_ms)
            elif active.given_up:
                self.state.end_job(active, Code.JOB_FAILED, now_s, now_ms)
            if active.ended and all(phase.is_off_workers for phase in phases):
                self.state.forget_job(active)

    def _probe_hall(self, hall: str) -> None:
        """Probe all responsive workers in a data hall that may be cut off."""
        probed = [
            worker.name
            for worker in self.state.workers.values()
            if worker.hall == hall and worker.listed and not worker.silent
        ]
        self.state.note("hall-doubted", hall=hall, workers=len(probed))
        self.state.round.probes += probed

    # The list of workers.

    def _is_replaced_incarnation(self, entry: ListedTaskWorker) -> bool:
        """Tell whether the entry's incarnation, or a later one, has been replaced."""
        started_ms = self._replaced_started_ms.get(entry.name)
        return started_ms is not None and entry.started_ms <= started_ms

    def _add_worker(self, entry: ListedTaskWorker, now_s: float) -> None:
        worker = self.state.workers.get(entry.name)
        if worker is None:
            inherited_end_s = self._began_s + self._get_inherited_lease_s()
            worker = create_worker(entry, inherited_end_s)
            self.state.workers[entry.name] = worker
        else:
            worker.update_entry(entry)
        self.state.settle_as_crashes(entry.name, entry.started_ms, entry.address)
        self._update_worker(worker, entry, now_s)
        self.state.note("worker-listed", worker=entry.name, rack=entry.rack)

    def _update_worker(
        self, worker: FleetWorker, entry: ListedTaskWorker, now_s: float
    ) -> None:
        match worker.incarnation.compare(entry.started_ms):
            case IncarnationOrder.FORMER:
                self._mark_listed(worker)
                return
            case IncarnationOrder.LATER:
                begin_incarnation(self.state, worker, entry.started_ms, now_s)
            case IncarnationOrder.SAME if not worker.incarnation.started_ms:
                worker.incarnation.started_ms = entry.started_ms
        worker.update_attributes(entry)
        if entry.leaving and worker.note_leaving(entry, now_s):
            self.state.note(
                "worker-leaving",
                worker=worker.name,
                remaining_s=entry.remaining_s,
                tasks=len(worker.tasks),
            )
            if worker.announced_while_silent:
                self.state.settle_as_cut_off(worker)
            if worker.tasks:
                # Its clock tells how long ago the entry was written.
                self.state.round.probes.append(worker.name)
        if entry.capacity != worker.capacity:
            self.state.note(
                "worker-resized",
                worker=worker.name,
                before=_format_room(worker.capacity),
                now=_format_room(entry.capacity),
                used=_format_room(worker.used),
            )
            worker.resize(entry.capacity)
        self._mark_listed(worker)
        self.state.changed = True

    def _mark_listed(self, worker: FleetWorker) -> None:
        if not worker.listed:
            worker.note_listed_again()
            self.state.changed = True
            self.state.note("worker-listed-again", worker=worker.name)

    def _unlist(self, worker: FleetWorker, now_s: float) -> None:
        # A missing entry doesn't prove that the tasks have ended: entries can lapse
        # while workers keep running, and a task started elsewhere would then run twice.
        # Only an answer from its address or the end of its lease releases its tasks.
        self.state.note(
            "worker-unlisted",
            worker=worker.name,
            leaving=worker.leaving,
            tasks=len(worker.tasks),
            lease_left_s=round(worker.lease_end_s - now_s, 3),
        )
        worker.note_unlisted(now_s)
        self.state.changed = True

    def _add_unlisted(self, name: str, address: str) -> None:
        # The log names a worker that is not listed. Its tasks are released by an answer
        # from its address or by the end of its lease.
        self.state.workers[name] = FleetWorker(
            name,
            "",
            "",
            "",
            frozenset(),
            Resources(),
            self._began_s + self._get_inherited_lease_s(),
            address,
            listed=False,
            departure=Unannounced(self._began_s),
        )

    def _get_inherited_lease_s(self) -> float:
        """Return how long leases of former owners may last, in seconds."""
        policy = self.state.policy
        return policy.cut_off_renewal_s + policy.lapse_s


def _format_room(room: Resources) -> str:
    """Format as thousandths of a core, MB and accelerators."""
    return f"{room.cpu_milli}/{room.memory_mb}/{room.accelerators}"


def create_fleet_scheduler(policy: FleetPolicy, now_s: float) -> FleetScheduler:
    """Return a scheduler for an owner whose tenure begins at ``now_s``."""
    return FleetScheduler(policy, now_s)
