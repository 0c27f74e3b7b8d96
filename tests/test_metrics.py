"""Check that an instance exposes exactly the documented metrics."""

import re
from pathlib import Path

from larkhoist.daemon.metrics import create_metrics

PAGE = Path(__file__).parent.parent / "docs" / "OPERATIONS.md"


def test_every_metric_is_documented():
    metrics = create_metrics()
    text = PAGE.read_text().split("## Metrics")[1]
    documented = set(re.findall(r"`(?:larkhoist_)?(\w+)(?:\{\w+\})?`", text))
    collectors = metrics.registry.get_all()
    shown = {collector.name.removeprefix("larkhoist_") for collector in collectors}
    assert shown == documented - {"larkhoist_"}


async def test_page_of_an_instance_shows_load_and_lag(start_cluster):
    cluster = await start_cluster(halls=("hall-a",), workers=0, runners=2)
    intent = {"customers": [{"name": "c"}], "services": [{"name": "main"}]}
    await cluster.confirm_intent("hall-a-entry-0", intent)
    answer = await cluster.send_request(
        "hall-a-entry-0", {"work_ms": 0}, Larkhoist_Customer="c"
    )
    assert answer.status == 200
    read = cluster.read_metric
    assert await read("hall-a-entry-0", "larkhoist_slots") == 16
    assert await read("hall-a-entry-0", "larkhoist_log_lag") == 0
    assert await read("hall-a-entry-0", "larkhoist_revision") == 1
    assert await read("hall-a-entry-0", "larkhoist_requests_total") == 1
