"""The admin listener: status, dump, metrics and configuration over HTTP.

Operators and their tools connect here and callers do not, so it opens on the
loopback address unless the settings say otherwise.
"""

from collections.abc import Awaitable
import json
from typing import Any
from typing import Protocol

from aiohttp import web

from eelgrasshall import errors
from eelgrasshall.protocol import admin as codec

MAX_CONFIGURATION_BYTES = 1 << 20
STOP_TIMEOUT_S = 2.0

# The first kind that occurs among the problems decides; others are 422.
_STATUS_BY_KIND = {
    errors.ProblemKind.CONFIGURATION_CONFLICT: 409,
    errors.ProblemKind.STORE_UNAVAILABLE: 503,
    errors.ProblemKind.NO_CONFIGURATION: 503,
    errors.ProblemKind.LEAVING: 503,
    errors.ProblemKind.REPLY_LOST: 504,
}


class AdminHandler(Protocol):
    """What the application gives to its operators."""

    def read_status(self) -> codec.Status:
        """Returns the short state of this process for `GET /status`."""

    def dump(self) -> dict[str, Any]:
        """Returns the whole state of this process for `GET /dump`."""

    def render_metrics(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""

    def read_configuration(self) -> bytes:
        """Returns the configuration in force as JSON, empty if none is."""

    def apply_configuration(
        self, body: bytes, base_version: int
    ) -> Awaitable[list[errors.Problem]]:
        """Makes a configuration the next version after `base_version`."""


class AdminServer:
    """The admin listener.

    Args:
      handler: The application.
    """

    def __init__(self, *, handler: AdminHandler):
        self._handler = handler
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> int:
        """Opens the listener.

        Args:
          host: IP address.
          port: TCP port, or 0 for a free one.

        Returns:
          The TCP port.

        Raises:
          OSError: The address cannot be bound.
        """
        app = web.Application(client_max_size=MAX_CONFIGURATION_BYTES)
        app.router.add_get("/status", self._get_status)
        app.router.add_get("/dump", self._get_dump)
        app.router.add_get("/metrics", self._get_metrics)
        app.router.add_get("/v1/configuration", self._get_configuration)
        app.router.add_post("/v1/configuration", self._post_configuration)
        runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=STOP_TIMEOUT_S
        )
        await runner.setup()
        self._runner = runner
        site = web.TCPSite(runner, host, port)
        await site.start()
        return runner.addresses[0][1]

    async def stop(self) -> None:
        """Closes the listener."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _get_status(self, _: web.Request) -> web.Response:
        """Answers `GET /status`."""
        body = codec.format_status(self._handler.read_status())
        return web.Response(body=body, content_type="application/json")

    async def _get_dump(self, _: web.Request) -> web.Response:
        """Answers `GET /dump`."""
        text = json.dumps(self._handler.dump(), indent=2, default=str)
        return web.Response(text=text, content_type="application/json")

    async def _get_metrics(self, _: web.Request) -> web.Response:
        """Answers `GET /metrics`."""
        return web.Response(
            body=self._handler.render_metrics(),
            headers={"Content-Type": "text/plain; version=0.0.4"},
        )

    async def _get_configuration(self, _: web.Request) -> web.Response:
        """Answers `GET /v1/configuration`."""
        body = self._handler.read_configuration()
        if body:
            return web.Response(body=body, content_type="application/json")
        problem = errors.Problem(
            kind=errors.ProblemKind.NO_CONFIGURATION,
            where="configuration",
            what="No configuration is in force here.",
            remedy="Apply one, or wait until the platform can be reached.",
        )
        return _answer_problems([problem], 404)

    async def _post_configuration(self, request: web.Request) -> web.Response:
        """Answers `POST /v1/configuration?base_version=N`."""
        text = request.query.get("base_version", "")
        if not text.isdecimal():
            return _answer_problems([_make_base_version_problem()], 422)
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            return _answer_problems([_make_size_problem()], 422)
        base_version = int(text)
        problems = await self._handler.apply_configuration(body, base_version)
        if problems:
            return _answer_problems(problems, _choose_status(problems))
        return web.json_response({"version": base_version + 1})


def _choose_status(problems: list[errors.Problem]) -> int:
    """Returns the HTTP status for a refused configuration."""
    for problem in problems:
        if problem.kind in _STATUS_BY_KIND:
            return _STATUS_BY_KIND[problem.kind]
    return 422


def _answer_problems(
    problems: list[errors.Problem], status: int
) -> web.Response:
    """Returns problems as an HTTP response."""
    plain = [problem.to_plain() for problem in problems]
    return web.json_response({"problems": plain}, status=status)


def _make_base_version_problem() -> errors.Problem:
    """Returns the problem of a missing or wrong base version."""
    return errors.Problem(
        kind=errors.ProblemKind.INVALID_CONFIGURATION,
        where="base_version",
        what="It is missing or not a whole number.",
        remedy="Name the version that the change starts from, 0 for the first.",
    )


def _make_size_problem() -> errors.Problem:
    """Returns the problem of a configuration that the store cannot hold."""
    return errors.Problem(
        kind=errors.ProblemKind.INVALID_CONFIGURATION,
        where="configuration",
        what=f"It is larger than {MAX_CONFIGURATION_BYTES} bytes.",
        remedy="Declare less; the platform holds values up to a megabyte.",
    )
