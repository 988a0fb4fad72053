"""A caller: asks for addresses, keeps them for a while, sends requests.

It behaves as an ordinary client should: it connects to an address of the
answer, and turns to another one when a host cannot be reached or says that
it did not run the request because it is leaving.
"""

import asyncio
import json
import random
from typing import Any
from typing import NamedTuple

import aiohttp

MOST_SENDS = 3
ADDRESS_TIMEOUT_S = 2.0
TICKET_BITS = 64
CALLER_CONNECTIONS = 2000
# Answers in which another host may do better at once.
ELSEWHERE = frozenset({"leaving", "no_configuration"})


class Reply(NamedTuple):
    """What a caller got in the end.

    Attributes:
      status: HTTP status, 0 if no host gave a response.
      document: The JSON body.
      sends: Sends that it took.
      error: Why there is no response; empty if there is.
    """

    status: int
    document: dict[str, Any]
    sends: int
    error: str = ""

    @property
    def outcome(self) -> str:
        """`answer`, `not_run`, `unknown`, or `none` without a response."""
        return self.document.get("outcome", "none")

    @property
    def problem(self) -> str:
        """Kind of the first problem, or an empty string."""
        problems = self.document.get("problems") or [{"kind": ""}]
        return problems[0]["kind"]


class Entry(NamedTuple):
    """One address of an answer.

    Attributes:
      zone: The entry host's availability zone.
      url: Its base URL.
    """

    zone: str
    url: str


class Caller:
    """One caller in one zone.

    Args:
      zone: The zone that it asks addresses for.
      entry_urls: Base URLs of hosts to ask for addresses.
      random_source: Where draws come from.
      fixed_urls: Hosts to use whatever the address answers say.
    """

    def __init__(
        self,
        *,
        zone: str,
        entry_urls: list[str],
        random_source: random.Random,
        fixed_urls: tuple[str, ...] = (),
    ):
        self._zone = zone
        self._entry_urls = entry_urls
        self._random = random_source
        self._fixed = [Entry("", url) for url in fixed_urls]
        self._entries: list[Entry] = list(self._fixed)
        self._ticket_prefix = ""
        self._keep_until = 0.0
        self._asking = asyncio.Lock()
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Opens the HTTP client."""
        connector = aiohttp.TCPConnector(limit=CALLER_CONNECTIONS)
        self._session = aiohttp.ClientSession(connector=connector)

    async def stop(self) -> None:
        """Closes the HTTP client."""
        await self._session.close()

    async def send(
        self,
        kind: str,
        query: Any,
        *,
        request_id: str,
        timeout_s: float,
        run_once: bool = False,
    ) -> Reply:
        """Sends a request, to another host if one is leaving or gone.

        Args:
          kind: The kind of request.
          query: The query.
          request_id: Its id.
          timeout_s: Seconds to wait for each send.
          run_once: Whether to send a ticket with it.
        """
        reply = Reply(0, {}, 0, "no address")
        document = {"kind": kind, "query": query}
        tried: set[str] = set()
        for sends in range(1, MOST_SENDS + 1):
            entries = await self._get_entries()
            fresh = [each for each in entries if each.url not in tried]
            if not entries:
                return reply
            url = self._choose(fresh or entries)
            tried.add(url)
            if run_once and "ticket" not in document:
                own = self._random.getrandbits(TICKET_BITS)
                document["ticket"] = f"{self._ticket_prefix}{own:x}"
            reply = await self._send_once(
                url, document, request_id, timeout_s, sends
            )
            if reply.error == "refused":
                self._keep_until = 0.0
                continue
            if reply.outcome != "not_run" or reply.problem not in ELSEWHERE:
                return reply
        return reply

    def _choose(self, entries: list[Entry]) -> str:
        """Draws one of the entry hosts in the zone that is named first."""
        near = [e.url for e in entries if e.zone == entries[0].zone]
        return self._random.choice(near)

    async def _send_once(
        self,
        url: str,
        document: dict[str, Any],
        request_id: str,
        timeout_s: float,
        sends: int,
    ) -> Reply:
        """Sends a request to one host."""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        headers = {"X-Request-Id": request_id, "X-Caller": self._zone}
        try:
            async with self._session.post(
                f"{url}/v1/query",
                json=document,
                headers=headers,
                timeout=timeout,
            ) as response:
                body = json.loads(await response.read())
                return Reply(response.status, body, sends)
        except aiohttp.ClientConnectorError:
            return Reply(0, {}, sends, "refused")
        except TimeoutError:
            return Reply(0, {}, sends, "timeout")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Reply(0, {}, sends, f"cut: {type(error).__name__}")

    async def _get_entries(self) -> list[Entry]:
        """Returns the addresses, asking anew once the answer is too old."""
        loop = asyncio.get_running_loop()
        if loop.time() < self._keep_until:
            return self._entries
        async with self._asking:
            if loop.time() >= self._keep_until:
                await self._ask_addresses()
        return self._entries

    async def _ask_addresses(self) -> None:
        """Asks one host after another for addresses."""
        loop = asyncio.get_running_loop()
        order = self._random.sample(self._entry_urls, len(self._entry_urls))
        timeout = aiohttp.ClientTimeout(total=ADDRESS_TIMEOUT_S)
        for url in order:
            asked_at = loop.time()
            try:
                async with self._session.get(
                    f"{url}/v1/addresses",
                    params={"zone": self._zone},
                    timeout=timeout,
                ) as response:
                    if response.status != 200:
                        continue
                    document = await response.json()
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
            self._entries = self._fixed or [
                Entry(each["zone"], f"http://{each['host']}:{each['port']}")
                for each in document["addresses"]
            ]
            self._ticket_prefix = document["ticket_prefix"]
            self._keep_until = asked_at + document["ttl_s"]
            return
