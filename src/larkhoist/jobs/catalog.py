"""Define one version of the operators' configuration of queues and customers."""

from dataclasses import dataclass, field

__all__ = ["Catalog", "CustomerAccount", "JobQueue"]


@dataclass(frozen=True, slots=True)
class JobQueue:
    """Configuration of one queue.

    A request goes to the queue of its host with the longest matching path prefix.
    """

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
    """Configuration of one customer."""

    name: str
    credentials: frozenset[str]
    guaranteed_accelerators: int


@dataclass(frozen=True, slots=True)
class Catalog:
    """Queues, customers and limits of one version of the configuration."""

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
        """Return the queue of ``host`` with the longest prefix of ``path``, if any."""
        name = host.partition(":")[0].lower()
        for queue in self._by_host.get(name, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def find_customer(self, credential: str) -> CustomerAccount | None:
        """Return the customer with the given credential, None if it is unknown."""
        return self._by_credential.get(credential)

    def get_guarantees(self) -> dict[str, int]:
        """Return the number of guaranteed accelerators by customer."""
        return {c.name: c.guaranteed_accelerators for c in self.customers}
