"""Check that any instance explains a job of any hall."""

from demo.cluster import wait_for


async def test_explanation_comes_from_the_owner_of_the_hall(start_cluster):
    cluster = await start_cluster(
        halls=("hall-a", "hall-b"), instances=2, workers=2, runners=0
    )
    name = "hall-a-entry-0"
    await cluster.find_owner("hall-b")
    await cluster.confirm_intent(name, {"customers": [{"name": "c"}]})
    job = {
        "customer": "c",
        "members": 2,
        "accelerators": 8,
        "hall": "hall-b",
        "payload": "run_s=600",
    }
    await cluster.post(name, "/v1/jobs", {"name": "first"} | job)
    await cluster.wait_for_job_state(name, "first", "placed")
    await cluster.post(name, "/v1/jobs", {"name": "second"} | job)
    for instance in ("hall-a-entry-0", "hall-a-entry-1", "hall-b-entry-0"):

        async def is_explained(instance=instance):
            shown = (await cluster.get(instance, "/v1/jobs/second")).json()
            return shown["explanation"] == (
                "waiting for 2 x 8 accelerators in one rack; 0 are free"
            )

        await wait_for(is_explained, f"{instance} explains the job")
    # The explanation is empty if the owner does not answer its peer within 0.5 s, as
    # may happen on a busy machine. Any other text is a failure.
    explanations = []

    async def is_running_explained():
        explanations.append(
            (await cluster.get(name, "/v1/jobs/first")).json()["explanation"]
        )
        return explanations[-1]

    await wait_for(is_running_explained, "the owner explains the running job")
    assert explanations[-1] == "running on hall-b-worker-0, hall-b-worker-1"
