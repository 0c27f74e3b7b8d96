"""Claim idempotency keys, so that non-repeatable requests are sent only once."""

import asyncio

import xxhash

from larkhoist.codes import Code
from larkhoist.daemon.call import Call
from larkhoist.daemon.log_writer import LogWriter
from larkhoist.daemon.state_keeper import StateKeeper
from larkhoist.log.fold import get_claim
from larkhoist.log.records import ClaimMade, ClaimReleased
from larkhoist.problem import Problem
from larkhoist.requests.claim import decide_claim, describe_other_claim

__all__ = ["Claimer"]

OUTAGE_RETRY_AFTER_S = 2.0
_UNAVAILABLE = Problem(Code.CLAIM_UNAVAILABLE, retry_after_s=OUTAGE_RETRY_AFTER_S)


class Claimer:
    """Claims on the platform's log, each made within ``wait_s`` seconds."""

    def __init__(
        self, instance: str, keeper: StateKeeper, writer: LogWriter, wait_s: float
    ):
        self._instance = instance
        self._keeper = keeper
        self._writer = writer
        self._wait_s = wait_s

    async def claim(self, call: Call) -> Problem | None:
        """Claim the call's key; return the problem if it must not be sent."""
        digest = xxhash.xxh3_64_intdigest(call.path.encode() + b"\n" + call.body)
        existing = get_claim(self._keeper.state, call.service.name, call.key)
        if existing is not None:
            return describe_other_claim(existing, digest)
        if self._writer.failing:
            return _UNAVAILABLE
        call.claimed_s = asyncio.get_running_loop().time()
        record = ClaimMade(
            call.service.name, call.key, call.request_id, self._instance, digest
        )
        return await self._commit(call, record)

    def release_unused(self, call: Call) -> None:
        """Release the claim of a call that has not run and will never run."""
        if call.claim_id and not call.ledger.may_have_run:
            record = ClaimReleased(call.service.name, call.key, call.claim_id)
            self._writer.add(record)

    async def _commit(self, call: Call, record: ClaimMade) -> Problem | None:
        loop = asyncio.get_running_loop()
        end_s = min(call.deadline_s, call.claimed_s + self._wait_s)
        call.claim_id = record.claim_id
        result = await self._writer.commit(record, max(0.0, end_s - loop.time()))
        offset = result.value_or(None)
        if offset is None:
            if result.failure().code is Code.LOG_UNAVAILABLE:
                call.claim_id = ""
            return _UNAVAILABLE
        if not await self._keeper.wait_folded(offset, max(0.0, end_s - loop.time())):
            return _UNAVAILABLE
        entry = get_claim(self._keeper.state, call.service.name, call.key)
        decision = decide_claim(entry, record.claim_id, record.digest)
        if not decision.ours:
            call.claim_id = ""
        return decision.problem
