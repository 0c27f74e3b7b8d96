"""Tell from a day's logs where the time of jobs goes and what they waited for.

Reads the lines of all instances (key=value, in order of time) from files and prints,
by priority, how long jobs took from hop to hop and how many stops they caused.
Instances bound their logs; how many lines they dropped is printed first.
"""

import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

__all__ = ["JobTimes", "count_dropped", "read_jobs", "render"]

_LINE = re.compile(r"^\s*([0-9.]+) .*?\bevent=(\S+) (.*)$")
_DROPPED = re.compile(r"\blines_dropped_before=(\d+)")
_FIELD = re.compile(r'(\w+)=("[^"]*"|\S*)')
HOPS = ("accepted", "decided", "last start", "ended")
PERCENTILES = (50, 90, 99)


@dataclass(slots=True)
class JobTimes:
    """Hold when a job passed each hop, in seconds of the day."""

    priority: str = "?"
    tasks: int = 0
    took_s: float = 0.0
    hops: dict[str, float] = field(default_factory=dict)
    waits: Counter = field(default_factory=Counter)
    caused: int = 0
    suffered: int = 0
    starts: int = 0


def read_jobs(lines: Iterable[str]) -> dict[str, JobTimes]:
    """Return the times of every job that was accepted."""
    jobs: dict[str, JobTimes] = defaultdict(JobTimes)
    for at_s, event, fields in _parse(lines):
        job = jobs[fields.get("job", "")]
        match event:
            case "job-accepted":
                job.priority = fields.get("priority", "?")
                job.tasks = int(fields["tasks"])
                job.took_s = float(fields["took_s"])
                job.hops.setdefault("accepted", at_s)
            case "start-decided":
                job.hops.setdefault("decided", at_s)
                job.hops["last start"] = at_s
                job.starts += int(fields["tasks"])
            case "waits":
                job.waits[f"{fields['tier']}: {fields['reason']}"] += 1
            case "preempted":
                job.suffered += int(fields["tasks"])
                jobs[fields["claimant"]].caused += int(fields["tasks"])
            case "job-ended":
                job.hops.setdefault("ended", at_s)
    return {name: job for name, job in jobs.items() if "accepted" in job.hops}


def count_dropped(lines: Iterable[str]) -> int:
    """Return how many lines the instances said they had dropped."""
    return sum(int(number) for line in lines for number in _DROPPED.findall(line))


def render(jobs: dict[str, JobTimes]) -> str:
    """Return the tables as text."""
    lines = []
    for priority in sorted({job.priority for job in jobs.values()}):
        chosen = [job for job in jobs.values() if job.priority == priority]
        ended = [job for job in chosen if "ended" in job.hops]
        lines.append(f"priority {priority}: {len(chosen)} jobs, {len(ended)} ended")
        lines.append(_render_row("call to accepted", [j.took_s for j in chosen]))
        for first, second in zip(HOPS, HOPS[1:], strict=False):
            times = [
                job.hops[second] - job.hops[first]
                for job in chosen
                if first in job.hops and second in job.hops
            ]
            lines.append(_render_row(f"{first} to {second}", times))
        tasks = sum(job.tasks for job in chosen)
        lines.append(
            f"  tasks {tasks}, started {sum(j.starts for j in chosen)}, stopped for"
            f" others {sum(j.suffered for j in chosen)}, others stopped for them"
            f" {sum(j.caused for j in chosen)}"
        )
        waits = sum((job.waits for job in chosen), Counter())
        lines += [f"  {count:5} {reason}" for reason, count in waits.most_common(6)]
    return "\n".join(lines)


def _parse(lines: Iterable[str]) -> Iterator[tuple[float, str, dict[str, str]]]:
    for line in lines:
        found = _LINE.match(line)
        if found:
            fields = {name: text.strip('"') for name, text in _FIELD.findall(found[3])}
            yield float(found[1]), found[2], fields


def _render_row(name: str, times: list[float]) -> str:
    if not times:
        return f"  {name:26} no job"
    times = sorted(times)
    shown = (times[min(len(times) - 1, len(times) * p // 100)] for p in PERCENTILES)
    columns = "".join(f"{value:8.3f}" for value in shown)
    return f"  {name:26}{columns}  s at {PERCENTILES} of 100"


def main() -> None:
    """Print the tables for the files that are named, or for standard input."""
    names = sys.argv[1:]
    texts = [Path(name).read_text() for name in names] or [sys.stdin.read()]
    lines = [line for text in texts for line in text.splitlines()]
    print(f"{count_dropped(lines)} lines were dropped by bounded logs")
    print(render(read_jobs(lines)))


if __name__ == "__main__":
    main()
