"""Collect the Prometheus metrics of an instance."""

import resource

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from larkhoist.daemon.traffic import Traffic

__all__ = ["Metrics", "create_metrics"]

LATENCY_BUCKETS_S = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0]


class Metrics:
    """The metrics of one instance; gauges are set by name."""

    def __init__(self):
        self.registry = Registry()
        self._requests = self._add(
            Counter, "larkhoist_requests_total", "Requests ended, by result code"
        )
        self._latency = Histogram(
            "larkhoist_request_seconds",
            "Seconds from request to answer",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._gauges: dict[str, Gauge] = {}
        for name, text in (
            ("queue", "Requests that wait for a slot"),
            ("in_flight", "Requests sent and not yet answered"),
            ("upstreams", "Upstreams on the list"),
            ("slots", "Slots that requests may use at upstreams that stay"),
            ("upstreams_ejected", "Upstreams ejected for failures"),
            ("leases", "Workers whose lease this instance holds"),
            ("owner_epoch", "Epoch of the owned hall, 0 where it is not owned"),
            ("log_offset", "Next offset to fold"),
            ("log_lag", "Records known of on the log and not yet folded"),
            ("log_waiting", "Records that wait to be appended"),
            ("platform_up", "1 where the last call to the platform succeeded"),
            ("revision", "Configuration revision in force here"),
            ("ready", "1 where the instance serves"),
            ("jobs", "Jobs of the hall that wait or run"),
            ("fragmentation", "Share of free accelerators the mix cannot use"),
            ("peers", "Peers heard of lately"),
            ("fleet_term", "Term of the held tenure of staged jobs, 0 without"),
            ("fleet_strength", "Suitability as owner by cores and link, at most 1"),
            ("fleet_vacant_s", "Seconds since anybody was seen to hold the tenure"),
            ("fleet_held_up_s", "Seconds that an owner's records wait for the log"),
            ("fleet_loop_lag_s", "Longest delay of the owner's event loop, last 1 s"),
            ("fleet_call_timeout_s", "Time-out of the owner's calls to workers"),
            ("fleet_jobs", "Staged jobs known"),
            ("fleet_running", "Tasks that may run, as the owner knows"),
            ("fleet_waiting", "Tasks that wait, as the owner knows"),
            ("fleet_workers", "Workers known to the owner"),
            ("fleet_silent_workers", "Listed workers whose last call had no answer"),
            ("fleet_speed_low", "20th percentile of the workers' speed factors"),
            ("fleet_speed_high", "80th percentile of the workers' speed factors"),
            ("fleet_uneven", "1 where the speeds of workers count in placement"),
            ("fleet_unserved_steps", "Steps that wait, no task started for 3 s"),
            ("fleet_longest_unserved_s", "Longest such time of a step, in seconds"),
            ("fleet_over_end_listed", "Attempts over: their worker listed the end"),
            ("fleet_over_gang_done", "Attempts over: another member's end as done"),
            ("fleet_over_start_refused", "Attempts over: the start was refused"),
            ("fleet_over_never_sent", "Attempts over: the start was never sent"),
            ("fleet_over_absent_from_report", "Attempts over: a report lacks them"),
            ("fleet_over_lease_over", "Attempts over: the worker's lease had ended"),
            ("fleet_over_worker_replaced", "Attempts over: another life answered"),
            ("fleet_over_worker_restarted", "Attempts over: the worker restarted"),
            ("fleet_config_version", "Version of the configuration in force here"),
            ("fleet_cordoned_halls", "Data halls that get no new work"),
            ("fleet_config_age_s", "Seconds since the configuration was current"),
            ("fleet_state_age_s", "Seconds since the state of jobs was current"),
            ("fleet_append_delay_s", "Seconds that the oldest record has waited"),
            ("control_cpu_seconds", "Processor seconds used by this process"),
            ("control_peak_bytes", "Largest resident memory of this process"),
        ):
            self._gauges[name] = self._add(Gauge, f"larkhoist_{name}", text)
        self._appends = self._add(
            Counter, "larkhoist_appends_total", "Appends to the log, by result"
        )
        self._calls = self._add(
            Counter, "larkhoist_calls_total", "Calls to the log and workers, by cause"
        )
        self._sent_bytes = self._add(
            Counter, "larkhoist_sent_bytes_total", "Bytes of their bodies, by cause"
        )
        self._received_bytes = self._add(
            Counter, "larkhoist_received_bytes_total", "Bytes of answers, by cause"
        )

    def count_request(self, code: int, seconds: float) -> None:
        """Count one request that ended."""
        self._requests.inc({"code": str(code)})
        self._latency.observe({}, seconds)

    def count_append(self, result: str) -> None:
        """Count one append."""
        self._appends.inc({"result": result})

    def set_traffic(self, traffic: Traffic) -> None:
        """Set the counts of calls and of bytes by cause."""
        for cause, totals in traffic.totals.items():
            labels = {"cause": cause}
            self._calls.set(labels, totals.calls)
            self._sent_bytes.set(labels, totals.sent_bytes)
            self._received_bytes.set(labels, totals.received_bytes)

    def set(self, name: str, value: float) -> None:
        """Set a gauge by its name without the prefix."""
        self._gauges[name].set({}, value)

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the body and the headers of the metrics page.

        ``accept`` is the value of the request's ``Accept`` header.
        """
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.set("control_cpu_seconds", usage.ru_utime + usage.ru_stime)
        self.set("control_peak_bytes", usage.ru_maxrss * 1024)
        return render(self.registry, [accept])

    def _add(self, kind, name, text):
        return kind(name, text, registry=self.registry)


def create_metrics() -> Metrics:
    """Return metrics in a new registry."""
    return Metrics()
