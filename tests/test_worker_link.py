"""Check that a worker's task keeps running when the list changes."""

import asyncio

from returns.result import Success

from larkhoist.daemon.worker_link import LeaseAnswer, WorkerLinkTask
from larkhoist.ownership.tenure import LeaseTerms, Tenure
from larkhoist.ports.worker import LeaseReply


class GrantingWorker:
    """Grant every lease."""

    async def lease(self, request):
        return Success(LeaseReply(True, request.holder, request.epoch, 3.0))


async def test_worker_that_leaves_the_list_and_comes_back_is_renewed_again():
    tenure = Tenure("me", LeaseTerms(renew_s=0.01))
    tenure.set_workers({"w"}, 0.0)
    tenure.begin(0.0)
    answers: asyncio.Queue[LeaseAnswer] = asyncio.Queue()
    link = WorkerLinkTask("w", GrantingWorker(), tenure, answers.put_nowait)
    await link.start()
    try:
        await asyncio.wait_for(answers.get(), 10)
        tenure.set_workers(set(), 1.0)
        await asyncio.sleep(0.1)
        tenure.set_workers({"w"}, 2.0)
        while not answers.empty():
            answers.get_nowait()
        answer = await asyncio.wait_for(answers.get(), 10)
        assert answer.reply.granted
    finally:
        await link.close()
