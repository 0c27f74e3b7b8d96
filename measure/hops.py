"""Report from instance logs where jobs spend their time and what they wait for.

Reads the log lines of all instances (key=value, in order of time) from files or
standard input. Prints, by priority, the time between the stages of a job and the
number of tasks stopped by preemption. Instances limit their log lines per second, so
the number of dropped lines is printed first.
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
STAGES = ("accepted", "decided", "last start", "ended")
PERCENTILES = (50, 90, 99)


@dataclass(slots=True)
class JobTimes:
    """The times at which a job reached each stage, and counts of its log events.

    ``stage_times_s`` holds the log's timestamps in seconds, ``accept_s`` the duration
    of the call that submitted the job. ``preempted_tasks`` counts the job's own tasks
    that were stopped for others, ``preempted_others`` the tasks stopped for this job.
    """

    priority: str = "?"
    tasks: int = 0
    accept_s: float = 0.0
    stage_times_s: dict[str, float] = field(default_factory=dict)
    waits: Counter = field(default_factory=Counter)
    preempted_others: int = 0
    preempted_tasks: int = 0
    starts: int = 0


def read_jobs(lines: Iterable[str]) -> dict[str, JobTimes]:
    """Return the times of every job whose acceptance is in ``lines``, by job id."""
    jobs: dict[str, JobTimes] = defaultdict(JobTimes)
    for at_s, event, fields in _parse(lines):
        job = jobs[fields.get("job", "")]
        match event:
            case "job-accepted":
                job.priority = fields.get("priority", "?")
                job.tasks = int(fields["tasks"])
                job.accept_s = float(fields["took_s"])
                job.stage_times_s.setdefault("accepted", at_s)
            case "start-decided":
                job.stage_times_s.setdefault("decided", at_s)
                job.stage_times_s["last start"] = at_s
                job.starts += int(fields["tasks"])
            case "waits":
                job.waits[f"{fields['tier']}: {fields['reason']}"] += 1
            case "preempted":
                job.preempted_tasks += int(fields["tasks"])
                jobs[fields["claimant"]].preempted_others += int(fields["tasks"])
            case "job-ended":
                job.stage_times_s.setdefault("ended", at_s)
    return {name: job for name, job in jobs.items() if "accepted" in job.stage_times_s}


def count_dropped(lines: Iterable[str]) -> int:
    """Return how many dropped lines the instances' logs report."""
    return sum(int(number) for line in lines for number in _DROPPED.findall(line))


def render(jobs: dict[str, JobTimes]) -> str:
    """Return a table for each priority as text."""
    lines = []
    for priority in sorted({job.priority for job in jobs.values()}):
        chosen = [job for job in jobs.values() if job.priority == priority]
        ended = [job for job in chosen if "ended" in job.stage_times_s]
        lines.append(f"priority {priority}: {len(chosen)} jobs, {len(ended)} ended")
        lines.append(_render_row("call to accepted", [j.accept_s for j in chosen]))
        for first, second in zip(STAGES, STAGES[1:], strict=False):
            times = [
                job.stage_times_s[second] - job.stage_times_s[first]
                for job in chosen
                if first in job.stage_times_s and second in job.stage_times_s
            ]
            lines.append(_render_row(f"{first} to {second}", times))
        tasks = sum(job.tasks for job in chosen)
        lines.append(
            f"  tasks {tasks}, started {sum(j.starts for j in chosen)}, stopped for"
            f" others {sum(j.preempted_tasks for j in chosen)}, others stopped for them"
            f" {sum(j.preempted_others for j in chosen)}"
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
    """Print the tables for the files given as arguments, or for standard input."""
    names = sys.argv[1:]
    texts = [Path(name).read_text() for name in names] or [sys.stdin.read()]
    lines = [line for text in texts for line in text.splitlines()]
    print(f"{count_dropped(lines)} lines were dropped by bounded logs")
    print(render(read_jobs(lines)))


if __name__ == "__main__":
    main()
