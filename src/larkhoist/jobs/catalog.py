"""Hold the operators' configuration of queues and customers at one version."""

from dataclasses import dataclass, field

__all__ = ["Catalog", "CustomerAccount", "JobQueue"]


@dataclass(frozen=True, slots=True)
class JobQueue:
    """Describe one queue; callers name it by host and the longest path prefix."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_ms: int
    timeout_s: float
    public: bool


@dataclass(frozen=True, slots=True)
class CustomerAccount:
    """Describe one customer; the guarantee is a number of accelerators."""

    name: str
    credentials: frozenset[str]
    guaranteed_accelerators: int


@dataclass(frozen=True, slots=True)
class Catalog:
    """Hold one version of the configuration, whole."""

    version: int
    queues: tuple[JobQueue, ...]
    customers: tuple[CustomerAccount, ...]
    max_body_bytes: int
    _by_host: dict[str, list[JobQueue]] = field(default_factory=dict)
    _by_credential: dict[str, CustomerAccount] = field(default_factory=dict)

    def __post_init__(self):
        for queue in sorted(self.queues, key=lambda q: -len(q.prefix)):
            self._by_host.setdefault(queue.host.lower(), []).append(queue)
        for customer in self.customers:
            for credential in customer.credentials:
                self._by_credential[credential] = customer

    def find_queue(self, host: str, path: str) -> JobQueue | None:
        """Return the queue with the longest prefix that ``path`` begins with."""
        name = host.partition(":")[0].lower()
        for queue in self._by_host.get(name, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def find_customer(self, credential: str) -> CustomerAccount | None:
        """Return the customer that holds a credential."""
        return self._by_credential.get(credential)

    def get_guarantees(self) -> dict[str, int]:
        """Return the guaranteed accelerators by customer."""
        return {c.name: c.guaranteed_accelerators for c in self.customers}
