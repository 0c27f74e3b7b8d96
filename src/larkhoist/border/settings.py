"""Validate the settings file of one instance."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["DaemonSettings", "ListenSettings", "TimingSettings"]

Positive = Annotated[float, Field(gt=0)]
PositiveCount = Annotated[int, Field(gt=0)]
IpAddress = Annotated[str, Field(pattern=r"^(\d{1,3}\.){3}\d{1,3}$|^[0-9a-fA-F:]+$")]
PeerAddress = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")]
Port = Annotated[int, Field(ge=0, le=65535)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)


class ListenSettings(_Model):
    """Where the instance listens; ``address`` is an IP address."""

    address: IpAddress = "127.0.0.1"
    http_port: Port
    peer_port: Port


class TimingSettings(_Model):
    """Intervals and time limits, in seconds."""

    gossip_s: Positive = 0.2
    list_poll_s: Positive = 0.5
    log_wait_s: Positive = 5.0
    decide_s: Positive = 0.05
    lease_term_s: Positive = 3.0
    lease_renew_s: Positive = 1.0
    task_term_s: Positive = 10.0
    worker_lost_s: Positive = 4.0
    drain_notice_s: float = Field(1.0, ge=0)
    drain_s: Positive = 30.0
    claim_wait_s: Positive = 2.0
    snapshot_s: Positive = 60.0


class LimitSettings(_Model):
    """Limits on sizes, queues, connections and the rate of appends."""

    max_body_bytes: PositiveCount = 1024 * 1024
    max_answer_bytes: PositiveCount = 8 * 1024 * 1024
    max_queue: PositiveCount = 1000
    max_customer_queue: PositiveCount = 500
    max_header_bytes: PositiveCount = 8190
    max_headers: PositiveCount = 64
    max_in_flight: PositiveCount = 4096
    max_connections: PositiveCount = 4096
    append_budget_per_s: Positive = 80.0
    max_tail_entries: PositiveCount = 20_000


class PolicySettings(_Model):
    """Scheduling policy: packing of requests, reservations for gangs, backfill."""

    pack_share: float = Field(0.75, ge=0, le=1)
    patience_s: Positive = 30.0
    drain_reservation_s: Positive = 60.0
    backfill: bool = True


class LogSettings(_Model):
    """Logs and traces: format, level, and whether spans are logged."""

    format: Annotated[str, Field(pattern="^(keyvalue|json)$")] = "keyvalue"
    level: Annotated[str, Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
    spans: bool = False


class DaemonSettings(_Model):
    """The settings of one instance.

    ``seed_peers`` are addresses of peer links in the hall, each an IP address with a
    port, for a start while the platform's instance list is unreachable.
    """

    instance: Name
    hall: Name
    platform_url: Annotated[str, Field(pattern=r"^https?://[0-9a-fA-F.:\[\]]+$")]
    listen: ListenSettings
    seed_peers: Annotated[list[PeerAddress], Field(max_length=64)] = []
    timing: TimingSettings = TimingSettings()
    limits: LimitSettings = LimitSettings()
    policy: PolicySettings = PolicySettings()
    log: LogSettings = LogSettings()
