"""Submits configuration changes and waits until they are in force.

A change is based on the version in force and is accepted only if that is still
the latest version.  If the reply is lost, the change is sent again: daemons
recognize a change that was already accepted by its change id, so that it is
applied only once.
"""

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall.commands import client
from eelgrasshall.protocol import admin
from eelgrasshall.state import configuration

CONFIGURATION_PATH = "/v1/configuration"
HTTP_NOT_FOUND = 404
MAX_SEND_ATTEMPTS = 3
SEND_RETRY_DELAY_S = 0.5
STATUS_POLL_INTERVAL_S = 0.5

EMPTY_CONFIGURATION = configuration.Configuration(
    version=0, change_id="", zones=(), services=(), kinds=()
)


class Progress(NamedTuple):
    """The hosts on which a version is in force.

    Attributes:
      hosts: Names of all live hosts.
      lagging: Names of the live hosts that are not known to have it in force.
    """

    hosts: tuple[str, ...]
    lagging: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Whether the version is in force on every live host."""
        return bool(self.hosts) and not self.lagging


async def fetch_current(
    urls: Sequence[str],
) -> configuration.Configuration | list[errors.Problem]:
    """Returns the configuration in force.

    If there is none, returns `EMPTY_CONFIGURATION`.

    Args:
      urls: Admin listeners, in the order in which to try them.
    """
    reply = await client.get(urls, CONFIGURATION_PATH)
    if isinstance(reply, errors.Problem):
        return [reply]
    if reply.status == HTTP_NOT_FOUND:
        return EMPTY_CONFIGURATION
    if reply.status != client.HTTP_OK:
        return client.parse_problems(reply)
    parsed, problems = configuration.parse_configuration(reply.body)
    return problems if parsed is None else parsed


async def submit(
    urls: Sequence[str],
    proposed: configuration.Configuration,
    *,
    change_id: str,
    clock: clock_module.Clock,
) -> int | list[errors.Problem]:
    """Submits a changed configuration as the next version.

    Args:
      urls: Admin listeners, in the order in which to try them.
      proposed: The new contents, with the version that the change is based on.
      change_id: Random identifier of the change.
      clock: Source of time.

    Returns:
      The accepted version, or the problems if it was not accepted.
    """
    base_version = proposed.version
    target = proposed._replace(version=base_version + 1, change_id=change_id)
    body = configuration.format_configuration(target)
    problems: list[errors.Problem] = []
    for _ in range(MAX_SEND_ATTEMPTS):
        if problems:
            await clock.sleep(SEND_RETRY_DELAY_S)
        problems = await _submit_once(urls, body, base_version)
        if not problems:
            return target.version
        if problems[0].kind is not errors.ProblemKind.REPLY_LOST:
            return problems
    return problems


async def wait_until_in_force(
    urls: Sequence[str],
    version: int,
    *,
    clock: clock_module.Clock,
    timeout_s: float,
    report: Callable[[Progress], None],
) -> Progress:
    """Waits until a version is in force on every live host.

    Args:
      urls: Admin listeners, in the order in which to try them.
      version: Version of the configuration.
      clock: Source of time.
      timeout_s: Maximum time to wait, in seconds.
      report: Called when the progress has changed.

    Returns:
      The last known progress, complete or not.
    """
    end = clock.monotonic() + timeout_s
    progress = Progress((), ())
    while True:
        seen = await _fetch_progress(urls, version)
        if seen is not None and seen != progress:
            progress = seen
            report(progress)
        if progress.is_complete or clock.monotonic() >= end:
            return progress
        await clock.sleep(STATUS_POLL_INTERVAL_S)


async def _fetch_progress(urls: Sequence[str], version: int) -> Progress | None:
    """Returns where a version is in force; None if no daemon reports it."""
    reply = await client.get(urls, "/status")
    if isinstance(reply, errors.Problem):
        return None
    status = admin.parse_status(reply.body)
    if status is None:
        return None
    members = status.members
    return Progress(
        hosts=tuple(member.name for member in members),
        lagging=tuple(
            member.name
            for member in members
            if (member.configuration_version or 0) < version
        ),
    )


async def _submit_once(
    urls: Sequence[str], body: bytes, base_version: int
) -> list[errors.Problem]:
    """Sends a change once; returns no problems if it was accepted."""
    reply = await client.post(
        urls,
        CONFIGURATION_PATH,
        body=body,
        params={"base_version": str(base_version)},
        timeout_s=client.APPLY_TIMEOUT_S,
    )
    if isinstance(reply, errors.Problem):
        return [reply]
    return (
        [] if reply.status == client.HTTP_OK else client.parse_problems(reply)
    )
