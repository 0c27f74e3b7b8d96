"""Serve stand-ins for workers: leases, tasks, reports, and injected faults.

One process serves many workers. A task's payload may hold ``run_s=SECONDS`` and
``fail=1``. Every change of a task is written to a journal that the tests check.
"""

import argparse
import asyncio
import time
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

from larkhoist.ports.worker import (
    CommandReply,
    CommandRequest,
    LeaseReply,
    LeaseRequest,
    TaskCommand,
    TaskReport,
    TaskState,
    Verb,
)
from standins.serving import serve_forever, start_site

__all__ = ["JournalEntry", "StandInWorker", "WorkerFaults", "create_app"]

TICK_S = 0.02
ENDED = (TaskState.FINISHED, TaskState.FAILED, TaskState.STOPPED)
ACTIVE = (TaskState.RUNNING, TaskState.THROTTLED)


class WorkerFaults(msgspec.Struct):
    """Faults to inject; integers count how often a fault still applies."""

    dead: bool = False
    frozen: bool = False
    refuse_prepare: int = 0
    lose_start_replies: int = 0
    drop_starts: int = 0
    fail_tasks: bool = False
    refuse_checkpoint: bool = False


class JournalEntry(msgspec.Struct, frozen=True):
    """One change of one task; ``at_s`` is a monotonic time in seconds."""

    at_s: float
    worker: str
    job_id: str
    attempt: int
    member: int
    event: str
    epoch: int


@dataclass(slots=True)
class _Task:
    command: TaskCommand
    state: TaskState
    changed_s: float
    elapsed_s: float = 0.0
    checkpointed: bool = False

    def report(self) -> TaskReport:
        """Return the report of this task."""
        return TaskReport(
            self.command.job_id,
            self.command.attempt,
            self.command.member,
            self.state,
            self.command.accelerators,
            self.elapsed_s,
            self.checkpointed,
        )


@dataclass(slots=True)
class StandInWorker:
    """Lease, tasks and journal of one worker."""

    name: str
    accelerators: int
    faults: WorkerFaults = field(default_factory=WorkerFaults)
    journal: list[JournalEntry] = field(default_factory=list)
    holder: str = ""
    epoch: int = 0
    lease_end_s: float = 0.0
    task_term_end_s: float = 0.0
    tasks: dict[tuple[str, int, int], _Task] = field(default_factory=dict)

    def lease(self, request: LeaseRequest, now_s: float) -> LeaseReply:
        """Grant or renew the lease.

        The holder may renew an unexpired lease, or take a newer epoch at any time;
        another owner needs a newer epoch and an expired lease.
        """
        expired = now_s >= self.lease_end_s
        same = request.holder == self.holder and request.epoch == self.epoch
        newer = request.epoch > self.epoch
        granted = (same and not expired) or (newer and expired)
        granted = granted or (newer and request.holder == self.holder)
        if granted:
            self.holder = request.holder
            self.epoch = request.epoch
            self.lease_end_s = now_s + request.term_s
            self.task_term_end_s = now_s + request.task_term_s
        left_s = max(0.0, self.lease_end_s - now_s)
        tasks = tuple(task.report() for task in self.tasks.values())
        return LeaseReply(granted, self.holder, self.epoch, left_s, tasks)

    def command(self, request: CommandRequest, now_s: float) -> CommandReply:
        """Execute commands of the holder of the unexpired lease; fence off others."""
        is_holder = request.holder == self.holder and request.epoch == self.epoch
        if not is_holder or now_s >= self.lease_end_s:
            return CommandReply(fenced=True)
        done = tuple(self._execute(command, now_s) for command in request.commands)
        return CommandReply(False, done)

    def tick(self, now_s: float) -> None:
        """Advance the tasks to ``now_s``.

        Drops prepared tasks whose hold has expired, stops active tasks whose term
        has expired, and ends running tasks that are finished or fail.
        """
        for key, task in list(self.tasks.items()):
            in_state_s = now_s - task.changed_s
            if task.state is TaskState.PREPARED and in_state_s > task.command.hold_s:
                del self.tasks[key]
                self._record(task, "dropped", now_s)
            elif task.state in ACTIVE and now_s > self.task_term_end_s:
                self._set_state(task, TaskState.STOPPED, now_s)
            elif task.state is TaskState.RUNNING:
                self._advance_running(task, now_s)

    def _advance_running(self, task: _Task, now_s: float) -> None:
        task.elapsed_s = now_s - task.changed_s
        payload = dict(
            part.split("=", 1) for part in task.command.payload.split() if "=" in part
        )
        if self.faults.fail_tasks or payload.get("fail") == "1":
            self._set_state(task, TaskState.FAILED, now_s)
        elif task.elapsed_s >= float(payload.get("run_s", "0.2")):
            self._set_state(task, TaskState.FINISHED, now_s)

    def _execute(self, command: TaskCommand, now_s: float) -> bool:
        key = (command.job_id, command.attempt, command.member)
        task = self.tasks.get(key)
        match command.verb:
            case Verb.PREPARE:
                return self._prepare(key, command, now_s)
            case Verb.START:
                return self._start(task, now_s)
            case Verb.CHECKPOINT:
                if task is None or self.faults.refuse_checkpoint:
                    return False
                task.checkpointed = True
            case Verb.THROTTLE:
                if task is not None and task.state is TaskState.RUNNING:
                    self._set_state(task, TaskState.THROTTLED, now_s)
            case Verb.STOP:
                if task is not None and task.state not in ENDED:
                    self._set_state(task, TaskState.STOPPED, now_s)
            case Verb.FORGET:
                if task is not None and task.state in ENDED:
                    del self.tasks[key]
        return True

    def _prepare(self, key, command: TaskCommand, now_s: float) -> bool:
        if key in self.tasks:
            return self.tasks[key].state is TaskState.PREPARED
        if self.faults.refuse_prepare > 0:
            self.faults.refuse_prepare -= 1
            return False
        if command.accelerators & self._get_busy_mask():
            return False
        if command.accelerators >> self.accelerators:
            return False
        task = _Task(command, TaskState.PREPARED, now_s)
        self.tasks[key] = task
        self._record(task, TaskState.PREPARED.value, now_s)
        return True

    def _start(self, task: _Task | None, now_s: float) -> bool:
        if task is None:
            return False
        if self.faults.drop_starts > 0:
            self.faults.drop_starts -= 1
            return False
        if task.state is TaskState.PREPARED:
            self._set_state(task, TaskState.RUNNING, now_s)
        return task.state not in (TaskState.STOPPED, TaskState.FAILED)

    def _get_busy_mask(self) -> int:
        mask = 0
        for task in self.tasks.values():
            if task.state not in ENDED:
                mask |= task.command.accelerators
        return mask

    def _set_state(self, task: _Task, state: TaskState, now_s: float) -> None:
        task.state = state
        task.changed_s = now_s
        self._record(task, state.value, now_s)

    def _record(self, task: _Task, event: str, now_s: float) -> None:
        command = task.command
        self.journal.append(
            JournalEntry(
                now_s,
                self.name,
                command.job_id,
                command.attempt,
                command.member,
                event,
                self.epoch,
            )
        )


def create_app(workers: dict[str, StandInWorker]) -> web.Application:
    """Return the web application that serves ``workers``."""

    async def serve(request: web.Request) -> web.Response:
        worker = workers[request.match_info["name"]]
        if worker.faults.frozen or worker.faults.dead:
            await asyncio.sleep(3600)
        data = await request.read()
        if request.match_info["verb"] == "lease":
            lease_request = msgspec.json.decode(data, type=LeaseRequest)
            reply = worker.lease(lease_request, time.monotonic())
            return web.Response(body=msgspec.json.encode(reply))
        command_request = msgspec.json.decode(data, type=CommandRequest)
        reply = worker.command(command_request, time.monotonic())
        starts = any(c.verb is Verb.START for c in command_request.commands)
        if starts and worker.faults.lose_start_replies > 0:
            worker.faults.lose_start_replies -= 1
            request.transport.abort()
        return web.Response(body=msgspec.json.encode(reply))

    async def put_faults(request: web.Request) -> web.Response:
        worker = workers[request.match_info["name"]]
        changes = msgspec.json.decode(await request.read())
        merged = msgspec.structs.asdict(worker.faults) | changes
        worker.faults = msgspec.convert(merged, WorkerFaults)
        if worker.faults.dead:
            worker.tasks.clear()
        return web.json_response(merged)

    async def get_journal(_: web.Request) -> web.Response:
        entries = [entry for worker in workers.values() for entry in worker.journal]
        entries.sort(key=lambda entry: entry.at_s)
        return web.Response(body=msgspec.json.encode(entries))

    async def run_ticks(_: web.Application):
        task = asyncio.create_task(tick_forever())
        yield
        task.cancel()

    async def tick_forever() -> None:
        while True:
            await asyncio.sleep(TICK_S)
            for worker in workers.values():
                if not worker.faults.dead:
                    worker.tick(time.monotonic())

    app = web.Application()
    app.cleanup_ctx.append(run_ticks)
    app.add_routes(
        [
            web.post("/workers/{name}/{verb:lease|commands}", serve),
            web.post("/workers/{name}/faults", put_faults),
            web.get("/journal", get_journal),
        ]
    )
    return app


def main() -> None:
    """Serve stand-in workers."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--names", required=True, help="names joined by commas")
    parser.add_argument("--accelerators", type=int, default=8)
    arguments = parser.parse_args()

    async def start():
        names = arguments.names.split(",")
        workers = {n: StandInWorker(n, arguments.accelerators) for n in names}
        return [await start_site(create_app(workers), "127.0.0.1", arguments.port)]

    serve_forever(start)


if __name__ == "__main__":
    main()
