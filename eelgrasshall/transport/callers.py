"""HTTP listener for callers.

Parses HTTP requests into `QueryRequest` values, awaits the handler's outcome
and sends it as the response.  Malformed input is rejected here, before it costs
further work.  If a caller closes its connection, the task of its request is
cancelled, and with it everything that the request started.
"""

import asyncio
from typing import Protocol

from aiohttp import web
from loguru import logger

from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.protocol import caller
from eelgrasshall.protocol import request_parser

MAX_HTTP_BODY_BYTES = 1 << 20
STOP_TIMEOUT_S = 30.0
_CLOSE_GRACE_S = 1.0


class CallerHandler(Protocol):
    """Interface that the application implements for callers."""

    async def query(self, request: caller.QueryRequest) -> caller.Outcome:
        """Runs a query."""

    async def list_addresses(self, zone: str) -> caller.Outcome:
        """Lists the entry hosts for a caller in a zone."""


class CallerServer:
    """Serves callers over HTTP.

    Args:
      handler: Runs the requests.
      invariants: Checks that a planned stop aborts no request; None in
        programs that check no invariants.
    """

    def __init__(
        self,
        *,
        handler: CallerHandler,
        invariants: invariants_module.InvariantChecker | None = None,
    ):
        self._handler = handler
        self._invariants = invariants
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._draining = False
        self._idle = asyncio.Event()
        self._idle.set()
        self.in_flight = 0

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
        app = web.Application(
            client_max_size=MAX_HTTP_BODY_BYTES,
            middlewares=[_encode_http_errors],
        )
        app.router.add_post("/v1/query", self._handle_query)
        app.router.add_get("/v1/addresses", self._handle_addresses)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=_CLOSE_GRACE_S,
        )
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, host, port)
        await self._site.start()
        return self._runner.addresses[0][1]

    def start_draining(self) -> None:
        """Sends `Connection: close` with each response from now on."""
        self._draining = True

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Stops listening, waits for requests in flight, closes connections.

        Args:
          timeout_s: Seconds after which requests still in flight are aborted.
            0 aborts them at once; this does not count as a planned stop.
        """
        if self._runner is None:
            return
        runner, self._runner = self._runner, None
        self._draining = True
        await self._site.stop()
        try:
            if timeout_s > 0:
                await self._drain(timeout_s)
        finally:
            await runner.cleanup()

    async def _drain(self, timeout_s: float) -> None:
        """Waits until no request is in flight, for at most `timeout_s`."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            logger.error(
                f"callers: Stop timed out; aborting {self.in_flight} requests."
            )
        if self._invariants is not None:
            self._invariants.check(
                invariants_module.Invariant.STOP_CUTS_NOTHING,
                self.in_flight == 0,
                f"{self.in_flight} requests in flight at the stop",
            )

    async def _handle_query(self, request: web.Request) -> web.Response:
        """Handles `POST /v1/query`."""
        request_id = request.headers.get("X-Request-Id", "")
        echoed_id = request_parser.get_echoed_id(request_id)
        self.in_flight += 1
        self._idle.clear()
        try:
            data = await request.read()
            query, problems = request_parser.parse_query(
                data,
                request_id=request_id,
                caller=request.headers.get("X-Caller", request.remote or ""),
                idempotency_key=request.headers.get("Idempotency-Key", ""),
            )
            if query is None:
                rejection = caller.Refusal(tuple(problems))
                outcome = caller.encode_refusal(rejection, echoed_id)
                return self._build_response(outcome, echoed_id)
            outcome = await self._handler.query(query)
            return self._build_response(outcome, echoed_id)
        finally:
            self.in_flight -= 1
            if self.in_flight == 0:
                self._idle.set()

    async def _handle_addresses(self, request: web.Request) -> web.Response:
        """Handles `GET /v1/addresses`."""
        zone = request.query.get("zone", "")
        outcome = await self._handler.list_addresses(zone)
        return self._build_response(outcome, "")

    def _build_response(
        self, outcome: caller.Outcome, request_id: str
    ) -> web.Response:
        """Builds the HTTP response for an outcome."""
        headers = dict(outcome.headers)
        if request_id:
            headers["X-Request-Id"] = request_id
        response = web.Response(
            status=outcome.status,
            headers=headers,
            body=outcome.body,
            content_type="application/json",
        )
        if self._draining:
            response.force_close()
        return response


@web.middleware
async def _encode_http_errors(
    request: web.Request, handler
) -> web.StreamResponse:
    """Turns error responses of the HTTP library into JSON problems."""
    try:
        return await handler(request)
    except web.HTTPRequestEntityTooLarge:
        problem = errors.Problem(
            errors.ProblemKind.REQUEST_TOO_LARGE,
            "body",
            f"It is larger than {MAX_HTTP_BODY_BYTES} bytes.",
            "Send a smaller query.",
        )
        status = 413
    except web.HTTPException as error:
        problem = errors.Problem(
            errors.ProblemKind.MALFORMED_REQUEST,
            request.path[: request_parser.MAX_NAME_CHARS],
            f"{error.reason}.",
            "Use POST /v1/query or GET /v1/addresses.",
        )
        status = error.status
    rejection = caller.encode_refusal(caller.Refusal((problem,)), "")
    return web.Response(
        status=status, body=rejection.body, content_type="application/json"
    )
