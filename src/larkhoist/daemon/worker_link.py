"""Send lease requests and commands to one worker, in order."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Success

from larkhoist.daemon.tasks import cancel_tasks
from larkhoist.ownership.tenure import Tenure
from larkhoist.ports.worker import (
    CommandReply,
    CommandRequest,
    LeaseReply,
    LeaseRequest,
    TaskCommand,
    WorkerPort,
)

__all__ = ["CommandAnswer", "LeaseAnswer", "WorkerLinkTask"]


@dataclass(frozen=True, slots=True)
class LeaseAnswer:
    """A worker's answer to a lease request; ``reply`` is None if none came.

    ``epoch`` is that of the tenure in which the request was sent.
    """

    worker: str
    epoch: int
    sent_s: float
    reply: LeaseReply | None


@dataclass(frozen=True, slots=True)
class CommandAnswer:
    """A worker's answer to commands; ``reply`` is None if none came."""

    worker: str
    epoch: int
    commands: tuple[TaskCommand, ...]
    reply: CommandReply | None


class WorkerLinkTask:
    """A task that makes all calls to one worker, so that they stay in order."""

    def __init__(
        self,
        name: str,
        worker: WorkerPort,
        tenure: Tenure,
        on_answer: Callable[[LeaseAnswer | CommandAnswer], None],
    ):
        self._name = name
        self._worker = worker
        self._tenure = tenure
        self._on_answer = on_answer
        self._inbox: asyncio.Queue[TaskCommand] = asyncio.Queue()
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start renewing the lease and sending commands."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop renewing and let the lease expire."""
        await cancel_tasks([self._task])

    def send(self, command: TaskCommand) -> None:
        """Queue a command."""
        self._inbox.put_nowait(command)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        renew_s = self._tenure.terms.renew_s
        next_renewal_s = loop.time()
        while True:
            wait_s = next_renewal_s - loop.time()
            if wait_s > 0:
                try:
                    first = await asyncio.wait_for(self._inbox.get(), wait_s)
                    await self._send_commands(first)
                    continue
                except TimeoutError:
                    pass
            next_renewal_s = loop.time() + renew_s
            await self._renew()

    async def _renew(self) -> None:
        tenure = self._tenure
        if self._name not in tenure.workers:
            # The worker left the list. This task is closed soon, or resumes if
            # the worker is listed again before that.
            return
        sent_s = asyncio.get_running_loop().time()
        task_term_s = tenure.get_task_term(self._name, sent_s)
        epoch = tenure.epoch
        request = LeaseRequest(
            tenure.instance,
            tenure.get_epoch(self._name),
            tenure.terms.term_s,
            task_term_s,
        )
        tenure.note_sent(self._name, sent_s, task_term_s)
        match await self._worker.lease(request):
            case Success(reply):
                self._on_answer(LeaseAnswer(self._name, epoch, sent_s, reply))
            case _:
                self._on_answer(LeaseAnswer(self._name, epoch, sent_s, None))

    async def _send_commands(self, first: TaskCommand) -> None:
        commands = [first]
        while not self._inbox.empty():
            commands.append(self._inbox.get_nowait())
        tenure = self._tenure
        epoch = tenure.epoch
        reply = None
        if tenure.holds(self._name, asyncio.get_running_loop().time()):
            request = CommandRequest(
                tenure.instance, tenure.get_epoch(self._name), tuple(commands)
            )
            reply = (await self._worker.command(request)).value_or(None)
        self._on_answer(CommandAnswer(self._name, epoch, tuple(commands), reply))
