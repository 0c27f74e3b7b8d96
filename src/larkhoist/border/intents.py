"""Validate intent files: customers with guarantees, services and jobs."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

from larkhoist.log.objects import Cell, CustomerSpec, Guarantee, JobSpec, ServiceSpec
from larkhoist.log.records import (
    Change,
    CustomerPut,
    CustomerRemoved,
    JobPut,
    ServicePut,
    ServiceRemoved,
)

__all__ = ["IntentModel", "JobModel", "make_changes", "make_job_spec"]

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
PowerOfTwo = Literal[1, 2, 4, 8, 16, 32, 64]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class CellModel(_Model):
    """``count`` blocks of ``accelerators`` adjacent accelerators each."""

    accelerators: PowerOfTwo
    count: Annotated[int, Field(ge=1, le=100_000)]


class GuaranteeModel(_Model):
    """The cells guaranteed in one data hall."""

    hall: Name
    cells: Annotated[list[CellModel], Field(min_length=1, max_length=16)]


class CustomerModel(_Model):
    """A customer in an intent file."""

    name: Name
    share: Annotated[int, Field(ge=1, le=1000)] = 1
    guarantees: Annotated[list[GuaranteeModel], Field(max_length=64)] = []


class ServiceModel(_Model):
    """A service in an intent file."""

    name: Name
    timeout_ms: Annotated[int, Field(ge=1, le=3_600_000)] = 10_000
    max_attempts: Annotated[int, Field(ge=1, le=10)] = 3
    echoes_request_id: bool = False


class JobModel(_Model):
    """A job, in an intent file or submitted alone."""

    name: Name
    customer: Name
    members: Annotated[int, Field(ge=1, le=1024)]
    accelerators: Annotated[int, Field(ge=1, le=64)]
    adjacency: Literal["worker", "rack", "hall"] = "rack"
    kind: Name = "batch"
    declared_s: Annotated[float, Field(gt=0, le=30 * 24 * 3600)] = 60.0
    guaranteed: bool = False
    urgent: bool = False
    repeatable: bool = True
    payload: Annotated[str, Field(max_length=4096)] = ""
    hall: Annotated[str, Field(pattern=r"^[a-z0-9._-]{0,63}$")] = ""


class RemoveModel(_Model):
    """The customers and services that an intent file removes."""

    customers: list[Name] = []
    services: list[Name] = []


class IntentModel(_Model):
    """A whole intent file."""

    customers: Annotated[list[CustomerModel], Field(max_length=1000)] = []
    services: Annotated[list[ServiceModel], Field(max_length=1000)] = []
    jobs: Annotated[list[JobModel], Field(max_length=1000)] = []
    remove: RemoveModel = RemoveModel()

    @model_validator(mode="after")
    def _check_names(self) -> "IntentModel":
        for field in ("customers", "services", "jobs"):
            names = [item.name for item in getattr(self, field)]
            duplicates = sorted({name for name in names if names.count(name) > 1})
            if duplicates:
                raise ValueError(
                    f"{field} names {', '.join(duplicates)} more than once"
                )
        return self


def make_job_spec(model: JobModel) -> JobSpec:
    """Return the job that a validated model describes."""
    return JobSpec(
        job_id=model.name,
        customer=model.customer,
        members=model.members,
        accelerators=model.accelerators,
        adjacency=model.adjacency,
        kind=model.kind,
        declared_s=model.declared_s,
        guaranteed=model.guaranteed,
        urgent=model.urgent,
        repeatable=model.repeatable,
        payload=model.payload,
        hall=model.hall,
    )


def make_changes(intent: IntentModel) -> tuple[Change, ...]:
    """Return the changes that a validated intent file asks for."""
    changes: list[Change] = [
        CustomerPut(_make_customer(model)) for model in intent.customers
    ]
    changes += [
        ServicePut(
            ServiceSpec(
                model.name,
                model.timeout_ms,
                model.max_attempts,
                model.echoes_request_id,
            )
        )
        for model in intent.services
    ]
    changes += [JobPut(make_job_spec(model)) for model in intent.jobs]
    changes += [CustomerRemoved(name) for name in intent.remove.customers]
    changes += [ServiceRemoved(name) for name in intent.remove.services]
    return tuple(changes)


def _make_customer(model: CustomerModel) -> CustomerSpec:
    guarantees = tuple(
        Guarantee(
            guarantee.hall,
            tuple(Cell(cell.accelerators, cell.count) for cell in guarantee.cells),
        )
        for guarantee in model.guarantees
    )
    return CustomerSpec(model.name, model.share, guarantees)
