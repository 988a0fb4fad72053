"""Changing the configuration through a daemon and watching it come into force.

A change starts from the version in force and is accepted only while that is
still the newest.  After a lost reply it is sent again: by its change id the
daemons know a change that was accepted already, and accept it only once.
"""

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from eelgrasshall import clock as clock_module
from eelgrasshall import errors
from eelgrasshall.commands import client
from eelgrasshall.protocol import admin
from eelgrasshall.state import configuration

PATH = "/v1/configuration"
NOT_FOUND = 404
SEND_TRIES = 3
SEND_PAUSE_S = 0.5
WATCH_PAUSE_S = 0.5

EMPTY = configuration.Configuration(
    version=0, change_id="", zones=(), services=(), kinds=()
)


class Progress(NamedTuple):
    """Where a version is in force.

    Attributes:
      hosts: Names of the live hosts.
      lagging: Names of those that are not known to have it in force.
    """

    hosts: tuple[str, ...]
    lagging: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Whether every live host has it in force."""
        return bool(self.hosts) and not self.lagging


async def read_current(
    urls: Sequence[str],
) -> configuration.Configuration | list[errors.Problem]:
    """Returns the configuration in force, `EMPTY` if there is none.

    Args:
      urls: Admin listeners, in the order in which to try them.
    """
    reply = await client.read(urls, PATH)
    if isinstance(reply, errors.Problem):
        return [reply]
    if reply.status == NOT_FOUND:
        return EMPTY
    if reply.status != client.OK:
        return client.read_problems(reply)
    parsed, problems = configuration.parse_configuration(reply.body)
    return problems if parsed is None else parsed


async def submit(
    urls: Sequence[str],
    changed: configuration.Configuration,
    *,
    change_id: str,
    clock: clock_module.Clock,
) -> int | list[errors.Problem]:
    """Has a changed configuration accepted as the next version.

    Args:
      urls: Admin listeners, in the order in which to try them.
      changed: The contents, with the version from which the change starts.
      change_id: Random name of the change.
      clock: Source of time.

    Returns:
      The accepted version, or why it was not accepted.
    """
    base_version = changed.version
    target = changed._replace(version=base_version + 1, change_id=change_id)
    body = configuration.format_configuration(target)
    problems: list[errors.Problem] = []
    for _ in range(SEND_TRIES):
        if problems:
            await clock.sleep(SEND_PAUSE_S)
        problems = await _send(urls, body, base_version)
        if not problems:
            return target.version
        if problems[0].kind is not errors.ProblemKind.REPLY_LOST:
            return problems
    return problems


async def watch(
    urls: Sequence[str],
    version: int,
    *,
    clock: clock_module.Clock,
    timeout_s: float,
    report: Callable[[Progress], None],
) -> Progress:
    """Waits until every live host has a version in force.

    Args:
      urls: Admin listeners, in the order in which to try them.
      version: The version.
      clock: Source of time.
      timeout_s: Longest wait in seconds.
      report: Called with each change of progress.

    Returns:
      The last progress seen, complete or not.
    """
    end = clock.monotonic() + timeout_s
    progress = Progress((), ())
    while True:
        seen = await _read_progress(urls, version)
        if seen is not None and seen != progress:
            progress = seen
            report(progress)
        if progress.is_complete or clock.monotonic() >= end:
            return progress
        await clock.sleep(WATCH_PAUSE_S)


async def _read_progress(urls: Sequence[str], version: int) -> Progress | None:
    """Reads which hosts have a version in force; None if none replies."""
    reply = await client.read(urls, "/status")
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


async def _send(
    urls: Sequence[str], body: bytes, base_version: int
) -> list[errors.Problem]:
    """Sends a change once; gives no problems if it was accepted."""
    reply = await client.send(
        urls,
        PATH,
        body=body,
        params={"base_version": str(base_version)},
        timeout_s=client.APPLY_TIMEOUT_S,
    )
    if isinstance(reply, errors.Problem):
        return [reply]
    return [] if reply.status == client.OK else client.read_problems(reply)
