"""Print how soon urgent and guaranteed gangs start in a full hall, end to end."""

import asyncio
import time

from demo.cluster import Cluster, ClusterShape, create_cluster
from larkhoist.codes import Code

__all__ = ["print_urgent"]

HALL = "hall-a"
WORKERS = 4
ROUNDS = 5
INTENT = {
    "customers": [
        {
            "name": "guaranteed",
            "guarantees": [{"hall": HALL, "cells": [{"accelerators": 16, "count": 1}]}],
        },
        {"name": "others"},
    ]
}


def print_urgent() -> None:
    """Print seconds from submission to the start of every member."""
    asyncio.run(_measure())


async def _measure() -> None:
    print("start in a hall full of borrowed work, seconds from submission")
    shape = ClusterShape(halls=(HALL,), workers=WORKERS, runners=0, instances=2)
    cluster = create_cluster(shape)
    try:
        await cluster.start()
        await cluster.find_owner(HALL)
        await cluster.confirm_intent(cluster.get_instances(HALL)[0], INTENT)
        await _fill(cluster)
        urgent = [await _time_start(cluster, n, urgent=True) for n in range(ROUNDS)]
        claims = [await _time_start(cluster, n, guaranteed=True) for n in range(ROUNDS)]
    finally:
        await cluster.close()
    print(f"  urgent     median {_median(urgent):.2f}, max {max(urgent):.2f}")
    print(f"  guaranteed median {_median(claims):.2f}, max {max(claims):.2f}")


async def _fill(cluster: Cluster) -> None:
    name = cluster.get_instances(HALL)[0]
    for number in range(WORKERS * 2 + 4):
        job = _make_job(f"fill-{number}", "others", 1, 4, "run_s=600")
        await cluster.post(name, "/v1/jobs", job)
    for number in range(WORKERS * 2):
        await cluster.wait_for_job_state(name, f"fill-{number}", "placed")


async def _time_start(cluster: Cluster, number: int, **kind) -> float:
    name = cluster.get_instances(HALL)[0]
    customer = "guaranteed" if "guaranteed" in kind else "others"
    job_id = f"{next(iter(kind))}-{number}"
    job = _make_job(job_id, customer, 2, 8, "run_s=0.5") | kind
    began_s = time.monotonic()
    submitted = await cluster.post(name, "/v1/jobs", job)
    assert submitted.code == Code.ACCEPTED
    await cluster.wait_for_job_state(name, job_id, "placed")
    taken_s = time.monotonic() - began_s
    await cluster.wait_for_job_state(name, job_id)
    return taken_s


def _make_job(name, customer, members, accelerators, payload) -> dict:
    return {
        "name": name,
        "customer": customer,
        "members": members,
        "accelerators": accelerators,
        "adjacency": "worker" if members == 1 else "rack",
        "declared_s": 600,
        "payload": payload,
        "hall": HALL,
    }


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]
