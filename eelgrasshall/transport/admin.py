"""HTTP listener for operators: status, dump, metrics and configuration.

Only operators and their tools use it, so it binds the loopback address unless
the settings say otherwise.
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

# The first of the problems with a kind listed here determines the HTTP status;
# without one it is 422.
_STATUS_BY_KIND = {
    errors.ProblemKind.CONFIGURATION_CONFLICT: 409,
    errors.ProblemKind.STORE_UNAVAILABLE: 503,
    errors.ProblemKind.NO_CONFIGURATION: 503,
    errors.ProblemKind.LEAVING: 503,
    errors.ProblemKind.REPLY_LOST: 504,
}


class AdminHandler(Protocol):
    """Interface that the application implements for the admin listener."""

    def read_status(self) -> codec.Status:
        """Returns a summary of the state of this process."""

    def dump(self) -> dict[str, Any]:
        """Returns the full state of this process."""

    def render_metrics(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""

    def read_configuration(self) -> bytes:
        """Returns the current configuration as JSON, empty if there is none."""

    def apply_configuration(
        self, body: bytes, base_version: int
    ) -> Awaitable[list[errors.Problem]]:
        """Publishes a configuration as version `base_version` + 1.

        Returns:
          The problems that prevented it, empty on success.
        """


class AdminServer:
    """Serves the admin interface over HTTP.

    Args:
      handler: Supplies state and applies configurations.
    """

    def __init__(self, *, handler: AdminHandler):
        self._handler = handler
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> int:
        """Starts listening.

        Args:
          host: IP address.
          port: TCP port, or 0 to let the operating system choose.

        Returns:
          The bound TCP port.

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
        """Stops listening and closes open connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _get_status(self, _: web.Request) -> web.Response:
        """Handles `GET /status`."""
        body = codec.format_status(self._handler.read_status())
        return web.Response(body=body, content_type="application/json")

    async def _get_dump(self, _: web.Request) -> web.Response:
        """Handles `GET /dump`."""
        text = json.dumps(self._handler.dump(), indent=2, default=str)
        return web.Response(text=text, content_type="application/json")

    async def _get_metrics(self, _: web.Request) -> web.Response:
        """Handles `GET /metrics`."""
        return web.Response(
            body=self._handler.render_metrics(),
            headers={"Content-Type": "text/plain; version=0.0.4"},
        )

    async def _get_configuration(self, _: web.Request) -> web.Response:
        """Handles `GET /v1/configuration`."""
        body = self._handler.read_configuration()
        if body:
            return web.Response(body=body, content_type="application/json")
        problem = errors.Problem(
            kind=errors.ProblemKind.NO_CONFIGURATION,
            where="configuration",
            what="No configuration is in force on this host.",
            remedy="Apply one, or wait until the platform is reachable.",
        )
        return _build_problem_response([problem], 404)

    async def _post_configuration(self, request: web.Request) -> web.Response:
        """Handles `POST /v1/configuration?base_version=N`."""
        text = request.query.get("base_version", "")
        if not text.isdecimal():
            return _build_problem_response(
                [_describe_invalid_base_version()], 422
            )
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            return _build_problem_response(
                [_describe_oversized_configuration()], 422
            )
        base_version = int(text)
        problems = await self._handler.apply_configuration(body, base_version)
        if problems:
            return _build_problem_response(
                problems, _choose_problem_status(problems)
            )
        return web.json_response({"version": base_version + 1})


def _choose_problem_status(problems: list[errors.Problem]) -> int:
    """Returns the HTTP status for a rejected configuration."""
    for problem in problems:
        if problem.kind in _STATUS_BY_KIND:
            return _STATUS_BY_KIND[problem.kind]
    return 422


def _build_problem_response(
    problems: list[errors.Problem], status: int
) -> web.Response:
    """Builds the HTTP response that reports problems."""
    plain = [problem.to_plain() for problem in problems]
    return web.json_response({"problems": plain}, status=status)


def _describe_invalid_base_version() -> errors.Problem:
    """Describes a missing or malformed base version."""
    return errors.Problem(
        kind=errors.ProblemKind.INVALID_CONFIGURATION,
        where="base_version",
        what="It is missing or not a non-negative integer.",
        remedy="Give the version that the change is based on, or 0 if none.",
    )


def _describe_oversized_configuration() -> errors.Problem:
    """Describes a configuration that exceeds the store's size limit."""
    return errors.Problem(
        kind=errors.ProblemKind.INVALID_CONFIGURATION,
        where="configuration",
        what=f"It is larger than {MAX_CONFIGURATION_BYTES} bytes.",
        remedy="Shorten it; the platform stores values of up to one megabyte.",
    )
