"""Run ``larkhoistd``, the daemon of an entry instance."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import aiomisc
import cappa
import uvloop

from larkhoist.border.loading import check_model, load_model
from larkhoist.border.settings import DaemonSettings
from larkhoist.daemon.instance import DaemonInstance, create_instance
from larkhoist.daemon.logs import configure_logs
from larkhoist.problem import Problem

__all__ = ["DaemonArguments", "InstanceService", "main"]

EXIT_BAD_SETTINGS = 2


@dataclass
class DaemonArguments:
    """Run one entry instance of larkhoist."""

    settings: Annotated[Path, cappa.Arg(help="settings file, JSON with comments")]
    check: Annotated[
        bool, cappa.Arg(long=True, help="check the settings and do not start")
    ] = False
    address: Annotated[
        str | None,
        cappa.Arg(
            long=True,
            default=cappa.Env("LARKHOIST_ADDRESS", default=None),
            help="IP address to listen on; overrides the settings",
        ),
    ] = None
    hall: Annotated[
        str | None,
        cappa.Arg(
            long=True,
            default=cappa.Env("LARKHOIST_HALL", default=None),
            help="data hall; overrides the settings",
        ),
    ] = None


class InstanceService(aiomisc.Service):
    """An instance run as a service of an aiomisc entry point."""

    instance: DaemonInstance

    async def start(self) -> None:
        """Start the instance."""
        await self.instance.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain and close the instance."""
        await self.instance.close()


def main() -> None:
    """Read the settings, then run until a signal stops the process."""
    arguments = cappa.parse(DaemonArguments)
    settings = _load_settings(arguments)
    if arguments.check:
        print(f"{arguments.settings}: settings are valid")
        return
    configure_logs(settings.log.format, settings.log.level)
    service = InstanceService(instance=create_instance(settings))
    uvloop.install()
    with aiomisc.entrypoint(
        service,
        log_config=False,
        shutdown_timeout=settings.timing.drain_notice_s + settings.timing.drain_s + 5,
    ) as loop:
        loop.run_forever()


def _load_settings(arguments: DaemonArguments) -> DaemonSettings:
    try:
        text = arguments.settings.read_text()
    except OSError as error:
        _exit_with_problems(arguments, [str(error)])
    loaded = load_model(DaemonSettings, text).bind(
        lambda settings: check_model(DaemonSettings, _override(arguments, settings))
    )
    settings = loaded.value_or(None)
    if settings is None:
        _exit_with_problems(arguments, loaded.failure())
    return settings


def _override(arguments: DaemonArguments, settings: DaemonSettings) -> dict:
    data = settings.model_dump()
    if arguments.hall is not None:
        data["hall"] = arguments.hall
    if arguments.address is not None:
        data["listen"]["address"] = arguments.address
    return data


def _exit_with_problems(
    arguments: DaemonArguments, problems: list[Problem] | list[str]
) -> None:
    for problem in problems:
        print(f"{arguments.settings}: {problem}", file=sys.stderr)
    sys.exit(EXIT_BAD_SETTINGS)


if __name__ == "__main__":
    main()
