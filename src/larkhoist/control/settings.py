"""Define the settings of an instance that schedules staged jobs."""

from pydantic import BaseModel, ConfigDict, Field

from larkhoist.border.settings import LogSettings, Positive

__all__ = ["FleetSettings"]


class FleetSettings(BaseModel):
    """The validated settings; times are in seconds, most follow from platform limits.

    ``lease_s`` is the longest lease that workers grant, ``apply_s`` how soon a
    configuration must be in force, ``drain_s`` how long an instance may take to stop,
    ``stop_s`` how long a worker may take to stop a task, ``restore_s`` how long a task
    takes to resume from its checkpoint.
    ``keep_s`` is how long the outcome of an ended job is available.
    ``cores`` is the number of processor cores that the instance may use, and
    ``bandwidth_mbps`` the bandwidth of its network link in Mbit/s.
    ``handover`` enables the instance to replace an owner that is much weaker.
    ``progress_blocks`` allows an instance with a slow link to write the progress of
    wide steps in blocks. It must stay off until every instance runs a build that reads
    blocks: an older build acknowledges the ends of tasks of such a job without
    recording them, so that they would run again.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    instance: str = Field(min_length=1)
    hall: str = Field(min_length=1)
    lease_s: Positive = 10.0
    apply_s: Positive = 2.0
    drain_s: Positive = 6.0
    stop_s: Positive = 0.9
    restore_s: Positive = 0.25
    keep_s: Positive = 180.0
    cores: Positive = 1.0
    bandwidth_mbps: Positive = 1000.0
    handover: bool = True
    progress_blocks: bool = False
    log: LogSettings = LogSettings()
