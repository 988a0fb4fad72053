"""The callers' HTTP listener.

Turns HTTP requests into `QueryRequest` values, awaits the handler's outcome
and sends it.  Input that cannot be a request is refused here, so that it
costs no further work.  A caller that closes its connection cancels the task
of its request, and with it all that the request started.
"""

import asyncio
from typing import Protocol

from aiohttp import web
from loguru import logger

from eelgrasshall import errors
from eelgrasshall import invariants as invariants_module
from eelgrasshall.protocol import caller
from eelgrasshall.protocol import intake

MAX_HTTP_BODY_BYTES = 1 << 20
STOP_TIMEOUT_S = 30.0
_CLOSE_GRACE_S = 1.0


class CallerHandler(Protocol):
    """What answers the callers."""

    async def query(self, request: caller.QueryRequest) -> caller.Outcome:
        """Runs a request."""

    async def addresses(self, zone: str) -> caller.Outcome:
        """Names the entry hosts for a caller in a zone."""


class CallerServer:
    """Serves callers over HTTP.

    Args:
      handler: What answers them.
      invariants: Checks that a stop cuts no request; None in programs that
        check nothing.
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
        self._leaving = False
        self._idle = asyncio.Event()
        self._idle.set()
        self.in_flight = 0

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
        app = web.Application(
            client_max_size=MAX_HTTP_BODY_BYTES, middlewares=[_refuse_as_json]
        )
        app.router.add_post("/v1/query", self._answer_query)
        app.router.add_get("/v1/addresses", self._answer_addresses)
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

    def begin_leaving(self) -> None:
        """Asks callers, with each response, to close their connections."""
        self._leaving = True

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Closes the listener, finishes what is in flight, then closes.

        Args:
          timeout_s: Seconds after which requests are cut all the same; 0
            stops at once, which is no planned stop.
        """
        if self._runner is None:
            return
        runner, self._runner = self._runner, None
        self._leaving = True
        await self._site.stop()
        try:
            if timeout_s > 0:
                await self._finish(timeout_s)
        finally:
            await runner.cleanup()

    async def _finish(self, timeout_s: float) -> None:
        """Waits until nothing is in flight."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            logger.error(f"callers: {self.in_flight} requests are cut.")
        if self._invariants is not None:
            self._invariants.check(
                invariants_module.Invariant.STOP_CUTS_NOTHING,
                self.in_flight == 0,
                f"{self.in_flight} requests in flight at the stop",
            )

    async def _answer_query(self, request: web.Request) -> web.Response:
        """Serves POST /v1/query."""
        request_id = request.headers.get("X-Request-Id", "")
        echo = intake.choose_echo(request_id)
        self.in_flight += 1
        self._idle.clear()
        try:
            data = await request.read()
            query, problems = intake.parse_query(
                data,
                request_id=request_id,
                caller=request.headers.get("X-Caller", request.remote or ""),
                idempotency_key=request.headers.get("Idempotency-Key", ""),
            )
            if query is None:
                refusal = caller.Refusal(tuple(problems))
                outcome = caller.encode_refusal(refusal, echo)
                return self._respond(outcome, echo)
            outcome = await self._handler.query(query)
            return self._respond(outcome, echo)
        finally:
            self.in_flight -= 1
            if self.in_flight == 0:
                self._idle.set()

    async def _answer_addresses(self, request: web.Request) -> web.Response:
        """Serves GET /v1/addresses."""
        zone = request.query.get("zone", "")
        outcome = await self._handler.addresses(zone)
        return self._respond(outcome, "")

    def _respond(
        self, outcome: caller.Outcome, request_id: str
    ) -> web.Response:
        """Returns the HTTP response of an outcome."""
        headers = dict(outcome.headers)
        if request_id:
            headers["X-Request-Id"] = request_id
        response = web.Response(
            status=outcome.status,
            headers=headers,
            body=outcome.body,
            content_type="application/json",
        )
        if self._leaving:
            response.force_close()
        return response


@web.middleware
async def _refuse_as_json(request: web.Request, handler) -> web.StreamResponse:
    """Gives what the HTTP library refuses as typed errors too."""
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
            request.path[: intake.MAX_NAME_CHARS],
            f"{error.reason}.",
            "Use POST /v1/query or GET /v1/addresses.",
        )
        status = error.status
    refusal = caller.encode_refusal(caller.Refusal((problem,)), "")
    return web.Response(
        status=status, body=refusal.body, content_type="application/json"
    )
