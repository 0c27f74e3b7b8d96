"""Define the reasons why a phase waits."""

from enum import Enum

__all__ = ["WaitReason"]


class WaitReason(Enum):
    """Name why the tasks of a phase that is ready do not start."""

    NO_WORKER = "no worker may run it"
    NO_ROOM = "too little room"
    KEPT_FOR_GUARANTEES = "guarantees need the room"
    KEPT_FOR_URGENT = "urgent work may need the room"
    PLANNED = "waits for stops"
