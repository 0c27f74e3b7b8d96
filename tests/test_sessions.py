"""Compare client sessions, refused inputs and their messages with snapshots."""

import asyncio
import json
import re
import sys
from dataclasses import replace

import pytest

from demo.__main__ import read_example
from larkhoist.codes import Code

# A fixed width: the layout of the output must not depend on the terminal.
ENVIRONMENT = {"COLUMNS": "200", "PATH": "/usr/bin:/bin"}


async def run_program(module, *arguments, stdin=None):
    """Run a module of the package; return its exit code and output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *map(str, arguments),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        env=ENVIRONMENT,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()


def normalise(text):
    """Replace the parts of the output that differ between runs."""
    text = re.sub(r"/\S*/(?=[^/]*\.json)", "", text)
    # A job may already be claimed when its submission is answered.
    text = re.sub(r"^(state +)(pending|claimed)$", r"\1WAITING", text, flags=re.M)
    text = re.sub(r"^(hall +)\S+$", r"\1HALL", text, flags=re.M)
    text = re.sub(r"\b[0-9a-f]{12}\b", "PLAN", text)
    text = re.sub(r"127\.0\.0\.1:\d+", "ADDRESS", text)
    return re.sub(r" {2,}", "  ", text)


class Session:
    """Commands given to the client, with their output and exit codes."""

    def __init__(self, server):
        self._server = server
        self.lines = []

    async def run(self, *arguments):
        """Run one command of the client; record and return its output."""
        code, printed = await run_program(
            "larkhoist.client.main", "--server", self._server, *arguments
        )
        command_line = " ".join(str(a).rsplit("/", 1)[-1] for a in arguments)
        self.lines.append(
            f"$ larkhoist {normalise(command_line)}\n{printed.strip()}\n= {code}"
        )
        return printed

    def read(self):
        """Return the session as text, normalised."""
        return normalise("\n\n".join(self.lines))


@pytest.mark.parametrize("name", ["bangkok", "sicily"])
async def test_operator_session(name, start_cluster, snapshot, tmp_path):
    shape, intent = read_example(name, whole=False)
    shape = replace(shape, instances=1)
    fields = {field: getattr(shape, field) for field in shape.__dataclass_fields__}
    cluster = await start_cluster(**fields)
    first = cluster.get_instances(shape.halls[0])[0]
    session = Session(cluster.addresses[first])
    configured = tmp_path / "intent.json"
    configured.write_text(json.dumps(intent | {"jobs": []}))
    planned = await session.run("plan", configured)
    plan_id = re.search(r"plan ([0-9a-f]{12});", planned).group(1)
    await session.run("customers")
    await session.run("confirm", plan_id)
    await session.run("confirm", plan_id)
    await session.run("customers")
    await session.run("services")
    for number, job in enumerate(intent["jobs"]):
        file = tmp_path / f"job-{number}.json"
        file.write_text(json.dumps(job))
        await session.run("job", "submit", file)
        ended = await cluster.wait_for_job_state(first, job["name"])
        assert ended["code"] == Code.JOB_FINISHED
        await session.run("explain", job["name"])
    await session.run("job", "cancel", "no-such-job")
    await session.run("job", "submit", tmp_path / "no-such-file.json")
    await session.run("workers")
    await session.run("upstreams")
    assert session.read() == snapshot


BAD_INTENTS = {
    "not-json": "{customers: [",
    "every-error": json.dumps(
        {
            "customers": [{"name": "A!", "share": 0}, {"share": "x"}],
            "service": [],
            "jobs": [{"name": "j", "customer": "c", "members": 0}],
        }
    ),
    "name-twice": json.dumps({"customers": [{"name": "a"}, {"name": "a"}]}),
    "too-much-guaranteed": json.dumps(
        {
            "customers": [
                {
                    "name": "a",
                    "guarantees": [
                        {"hall": "hall-a", "cells": [{"accelerators": 8, "count": 9}]},
                        {"hall": "nowhere", "cells": [{"accelerators": 1, "count": 1}]},
                    ],
                }
            ]
        }
    ),
    "never-runnable": json.dumps(
        {
            "customers": [{"name": "a"}],
            "jobs": [
                {"name": "j", "customer": "a", "members": 64, "accelerators": 8},
                {"name": "k", "customer": "b", "members": 1, "accelerators": 1},
            ],
        }
    ),
    "removes-unknown": json.dumps({"remove": {"customers": ["a"]}}),
}


async def test_refused_intents(start_cluster, snapshot, tmp_path):
    cluster = await start_cluster(halls=("hall-a",), workers=2, runners=0)
    session = Session(cluster.addresses["hall-a-entry-0"])
    for name, text in BAD_INTENTS.items():
        file = tmp_path / f"{name}.json"
        file.write_text(text)
        await session.run("plan", file)
    await session.run("confirm", "0123456789ab")
    await session.run("customers")
    assert session.read() == snapshot


BAD_SETTINGS = {
    "not-json": "{",
    "missing": "{}",
    "every-error": json.dumps(
        {
            "instance": "Entry One",
            "hall": "a",
            "platform_url": "http://platform.example:1",
            "listen": {"address": "localhost", "http_port": 99999, "peer_port": 1},
            "timing": {"lease_term_s": -1, "lease": 3},
            "colour": "red",
        }
    ),
    "good": """{
      // Comments and trailing commas are allowed.
      "instance": "entry-1", "hall": "a", "platform_url": "http://127.0.0.1:1",
      "listen": {"http_port": 1, "peer_port": 2},
    }""",
}


@pytest.mark.parametrize("name", BAD_SETTINGS)
async def test_checked_settings(name, snapshot, tmp_path):
    file = tmp_path / f"{name}.json"
    file.write_text(BAD_SETTINGS[name])
    code, printed = await run_program("larkhoist.daemon.main", "--check", file)
    printed = printed.replace(f"{tmp_path}/", "")
    assert f"{printed}= {code}" == snapshot


async def test_client_without_an_instance(snapshot):
    code, printed = await run_program(
        "larkhoist.client.main", "--server", "127.0.0.1:1", "status"
    )
    assert f"{normalise(printed)}= {code}" == snapshot


BAD_REQUESTS = {
    "no-customer": {},
    "unknown-customer": {"Larkhoist-Customer": "nobody"},
    "not-repeatable-without-key": {"Larkhoist-Repeatable": "no"},
    "repeatable-neither-yes-nor-no": {"Larkhoist-Repeatable": "perhaps"},
    "deadline-not-a-number": {"Larkhoist-Deadline-Ms": "soon"},
    "key-too-long": {"Idempotency-Key": "k" * 201},
}


async def test_refused_requests(start_cluster, snapshot):
    limits = {"limits": {"max_body_bytes": 1000}}
    cluster = await start_cluster(
        halls=("hall-a",), workers=0, runners=1, settings=limits
    )
    name = "hall-a-entry-0"
    intent = {"customers": [{"name": "c"}], "services": [{"name": "main"}]}
    await cluster.confirm_intent(name, intent)
    lines = []
    for what, headers in BAD_REQUESTS.items():
        if what != "no-customer":
            headers = {"Larkhoist-Customer": "c"} | headers
        answer = await cluster.send_request(name, {}, **headers)
        lines.append((what, answer))
    good = {"Larkhoist-Customer": "c"}
    large = await cluster.send_request(name, {"marker": "x" * 2000}, **good)
    lines.append(("body-too-large", large))
    missing = await cluster.post(name, "/v1/services/other/run", {}, good)
    lines.append(("unknown-service", missing))
    text = "\n".join(
        f"{what}: {answer.status} {answer.headers['Larkhoist-Outcome']} "
        f"{answer.body.decode()}"
        for what, answer in lines
    )
    assert await cluster.read_executions() == []
    assert text == snapshot
