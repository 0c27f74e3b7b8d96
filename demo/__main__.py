"""Demonstrate a configuration change, requests and gang jobs on a local cluster.

Exits with 1 if any step fails; stops every process that it started.
"""

import argparse
import asyncio
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import pyjson5
from ddsketch import DDSketch

from demo.cluster import Cluster, ClusterShape, ProcessError, create_cluster, wait_for
from larkhoist.codes import Code

EXAMPLES = Path(__file__).parent.parent / "examples"
REQUESTS = 200
CALLERS = 16


@dataclass(slots=True)
class Figures:
    """Results of the run; times are in seconds."""

    answered: int = 0
    other: int = 0
    latency: DDSketch = field(default_factory=DDSketch)
    jobs: int = 0
    in_force_s: float = 0.0


def read_example(name: str, whole: bool) -> tuple[ClusterShape, dict]:
    """Return the shape and the intent of an example cluster.

    Unless ``whole``, each hall has only 4 workers and 2 runners.
    """
    shape = pyjson5.decode((EXAMPLES / name / "cluster.json").read_text())
    intent = pyjson5.decode((EXAMPLES / name / "intent.json").read_text())
    halls = tuple(shape.pop("halls"))
    if not whole:
        shape |= {"workers": 4, "runners": 2}
    return ClusterShape(halls=halls, **shape), intent


async def run_steps(cluster: Cluster, intent: dict, figures: Figures) -> None:
    """Run the steps of the demo in order."""
    halls = cluster.shape.halls
    first = cluster.get_instances(halls[0])[0]
    await change_configuration(cluster, first, intent, figures)
    await send_requests(cluster, intent, figures)
    await run_jobs(cluster, first, intent, figures)


async def change_configuration(cluster, first, intent, figures) -> None:
    """Plan and confirm an intent and wait until it is in force in every hall."""
    configured = {key: value for key, value in intent.items() if key != "jobs"}
    planned = await cluster.post(first, "/v1/plans", configured)
    print_line(f"plan: code {planned.code}, {len(planned.json()['lines'])} changes")
    began_s = time.monotonic()
    path = f"/v1/plans/{planned.json()['plan_id']}/confirm"
    confirmed = await cluster.post(first, path)
    print_line(
        f"confirm: code {confirmed.code}, revision {confirmed.json()['revision']}"
    )

    async def in_force() -> bool:
        for hall in cluster.shape.halls:
            for name in cluster.get_instances(hall):
                status = (await cluster.get(name, "/v1/status")).json()
                if status["revision"] < confirmed.json()["revision"]:
                    return False
        return True

    await wait_for(in_force, "the revision is in force everywhere")
    figures.in_force_s = time.monotonic() - began_s
    halls = ", ".join(cluster.shape.halls)
    print_line(f"in force in {halls} after {figures.in_force_s * 1000:.0f} ms")


async def send_requests(cluster, intent, figures) -> None:
    """Send requests to every hall and check the answers.

    Then sends one request that is not repeatable to two halls under the same
    idempotency key; the second must get ``CLAIMED_BEFORE``.
    """
    customers = [customer["name"] for customer in intent["customers"]]
    names = [cluster.get_instances(hall)[0] for hall in cluster.shape.halls]
    numbers = iter(range(REQUESTS))

    async def call() -> None:
        for number in numbers:
            name = names[number % len(names)]
            customer = customers[number % len(customers)]
            await send_request(cluster, name, customer, number, figures)

    await asyncio.gather(*(call() for _ in range(CALLERS)))
    once = await cluster.send_request(
        names[0],
        {"marker": "billed"},
        Larkhoist_Customer=customers[0],
        Larkhoist_Repeatable="no",
        Idempotency_Key="proof-1",
    )
    again = await cluster.send_request(
        names[-1],
        {"marker": "billed"},
        Larkhoist_Customer=customers[0],
        Larkhoist_Repeatable="no",
        Idempotency_Key="proof-1",
    )
    print_line(
        f"not repeatable: first code {once.code}, again elsewhere code {again.code}"
    )
    if (once.code, again.code) != (Code.ANSWERED, Code.CLAIMED_BEFORE):
        raise ProcessError("a request that is not repeatable was not claimed once")


async def send_request(cluster, name, customer, number, figures) -> None:
    """Send one request and check that the answer carries its marker."""
    began_s = time.monotonic()
    answer = await cluster.send_request(
        name, {"marker": number, "work_ms": 5}, Larkhoist_Customer=customer
    )
    figures.latency.add(time.monotonic() - began_s)
    if answer.code == Code.ANSWERED and answer.json()["marker"] == number:
        figures.answered += 1
    else:
        figures.other += 1


async def run_jobs(cluster, first, intent, figures) -> None:
    """Submit the gang jobs of the intent and wait until they have ended."""
    for job in intent["jobs"]:
        submitted = await cluster.post(first, "/v1/jobs", job)
        print_line(
            f"job {job['name']}: code {submitted.code}, {submitted.json()['shape']}"
        )
    for job in intent["jobs"]:
        ended = await cluster.wait_for_job_state(first, job["name"])
        code = Code(ended["code"])
        workers = ", ".join(ended["workers"])
        print_line(
            f"job {job['name']}: code {int(code)} {code.name} in {ended['hall']}"
        )
        print_line(f"  members ran on {workers}")
        if code is not Code.JOB_FINISHED:
            raise ProcessError(f"job {job['name']} ended with {code.name}")
        figures.jobs += 1


def print_figures(figures: Figures) -> None:
    """Print the results of the run."""
    quantiles = [figures.latency.get_quantile_value(q) for q in (0.5, 0.99, 1.0)]
    text = ", ".join(f"{value * 1000:.1f}" for value in quantiles)
    print_line(f"requests: {figures.answered} answered, {figures.other} otherwise")
    print_line(f"completion time p50, p99, max: {text} ms (5 ms of work)")
    print_line(f"jobs done: {figures.jobs}")
    print_line(f"change in force everywhere after {figures.in_force_s * 1000:.0f} ms")


def print_line(text: str) -> None:
    """Print one line of the demo."""
    print(text, flush=True)


async def run(arguments: argparse.Namespace) -> int:
    """Run the demo and return the exit code."""
    shape, intent = read_example(arguments.cluster, arguments.whole)
    cluster = create_cluster(shape)
    figures = Figures()
    try:
        await cluster.start()
        print_line(
            f"started {len(cluster.processes)} processes for {arguments.cluster}"
        )
        await run_steps(cluster, intent, figures)
        print_figures(figures)
    except (ProcessError, KeyError) as error:
        print_line(f"failed: {error!r}")
        return 1
    finally:
        await cluster.close()
    print_line("stopped everything")
    return 0 if figures.answered == REQUESTS else 1


def main() -> None:
    """Read the arguments and run the demo."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--cluster", choices=("bangkok", "sicily"), default="bangkok")
    parser.add_argument(
        "--whole",
        action="store_true",
        help="start all workers and runners, not 4 and 2 per hall",
    )
    sys.exit(asyncio.run(run(parser.parse_args())))


if __name__ == "__main__":
    main()
