"""Check the figures that are read from logs and journal entries."""

import json

from measure.hops import count_dropped, read_jobs, render
from measure.shares import read_days

LINES = """
   1.0000 edge-1 at="x" event=job-accepted job=a priority=0 tasks=2 took_s=0.01
   1.5000 edge-1 at="x" level=info event=waits job=a reason="too little room" tier=firm
   1.5000 edge-1 at="x" level=info event=preempted job=b tasks=3 claimant=a
   2.0000 edge-1 at="x" level=info event=start-decided job=a tasks=2 attempt=1
   4.0000 edge-1 at="x" level=info event=job-ended job=a result=job_finished
   4.0000 edge-1 at="x" level=info event=job-ended job=never-accepted-here
"""


def test_hops_of_a_job():
    jobs = read_jobs(LINES.splitlines())
    assert list(jobs) == ["a"]
    job = jobs["a"]
    assert job.stage_times_s == {
        "accepted": 1.0,
        "decided": 2.0,
        "last start": 2.0,
        "ended": 4.0,
    }
    assert (job.priority, job.tasks, job.starts, job.preempted_others) == ("0", 2, 2, 3)
    assert job.waits == {"firm: too little room": 1}
    text = render(jobs)
    assert "priority 0: 1 jobs, 1 ended" in text
    assert "accepted to decided          1.000" in text


def test_lines_that_were_dropped_are_counted():
    assert (
        count_dropped(["a lines_dropped_before=3", "b", "c lines_dropped_before=4"])
        == 7
    )


def test_shares_add_up_to_all_there_was():
    day = {
        "name": "scale-1",
        "G": 0.65,
        "parts": [["whole day", 0.6, 0.8], ["worst windows", 0.2, 0.4]],
        "prices": [["calls", 9, 0.0494], ["starts", 1, 0.0006]],
    }
    (found,) = read_days(json.dumps({"days": [day]}))
    assert found.in_mean
    assert found.lost.keys() == {"whole day", "worst windows", "calls", "other prices"}
    assert abs(found.score + sum(found.lost.values()) - 1) < 1e-9
