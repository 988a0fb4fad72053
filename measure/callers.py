"""A caller that fetches addresses, caches them and sends requests.

It follows the rules for clients: it sends a request to one of the listed
addresses and retries with another one if the connection fails or if the host
did not run the request because it is leaving or has no configuration.
"""

import asyncio
import json
import random
from typing import Any
from typing import NamedTuple

import aiohttp

MAX_SENDS = 3
ADDRESS_TIMEOUT_S = 2.0
TICKET_BITS = 64
MAX_CONNECTIONS = 2000
# Problems of requests that were not run and that another host may run at once.
OTHER_HOST_PROBLEMS = frozenset({"leaving", "no_configuration"})


class Reply(NamedTuple):
    """Final outcome of a request.

    Attributes:
      status: HTTP status; 0 if no host responded.
      document: JSON body of the response.
      send_count: Number of sends of the request.
      error: Reason why there is no response; empty if there is one.
    """

    status: int
    document: dict[str, Any]
    send_count: int
    error: str = ""

    @property
    def outcome(self) -> str:
        """`answer`, `not_run` or `unknown`; `none` without a response."""
        return self.document.get("outcome", "none")

    @property
    def problem(self) -> str:
        """Kind of the first problem; empty if there is none."""
        problems = self.document.get("problems") or [{"kind": ""}]
        return problems[0]["kind"]


class EntryAddress(NamedTuple):
    """Address of one entry host.

    Attributes:
      zone: Availability zone of the host.
      url: Base URL of the host.
    """

    zone: str
    url: str


class Caller:
    """One caller in one zone.

    Args:
      zone: Zone for which it requests addresses.
      entry_urls: Base URLs of hosts that return addresses.
      random_source: Random number generator.
      fixed_urls: Base URLs to use instead of the returned addresses.
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
        self._fixed_addresses = [EntryAddress("", url) for url in fixed_urls]
        self._addresses: list[EntryAddress] = list(self._fixed_addresses)
        self._ticket_prefix = ""
        self._addresses_expire_s = 0.0
        self._refresh_lock = asyncio.Lock()
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Opens the HTTP client."""
        connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
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
        """Sends a request; retries with another host if this is safe.

        Retries up to `MAX_SENDS` sends in all if the connection was refused or
        the host replied with a problem of `OTHER_HOST_PROBLEMS`.

        Args:
          kind: Kind of the request.
          query: Query of the request.
          request_id: Id of the request.
          timeout_s: Time-out of each send in seconds.
          run_once: Whether to send a ticket with the request.
        """
        reply = Reply(0, {}, 0, "no address")
        document = {"kind": kind, "query": query}
        tried_urls: set[str] = set()
        for send_count in range(1, MAX_SENDS + 1):
            addresses = await self._get_addresses()
            untried = [each for each in addresses if each.url not in tried_urls]
            if not addresses:
                return reply
            url = self._choose_url(untried or addresses)
            tried_urls.add(url)
            if run_once and "ticket" not in document:
                suffix = self._random.getrandbits(TICKET_BITS)
                document["ticket"] = f"{self._ticket_prefix}{suffix:x}"
            reply = await self._send_once(
                url, document, request_id, timeout_s, send_count
            )
            if reply.error == "refused":
                self._addresses_expire_s = 0.0
                continue
            if (
                reply.outcome != "not_run"
                or reply.problem not in OTHER_HOST_PROBLEMS
            ):
                return reply
        return reply

    def _choose_url(self, addresses: list[EntryAddress]) -> str:
        """Chooses a random host in the zone of the first address."""
        urls = [e.url for e in addresses if e.zone == addresses[0].zone]
        return self._random.choice(urls)

    async def _send_once(
        self,
        url: str,
        document: dict[str, Any],
        request_id: str,
        timeout_s: float,
        send_count: int,
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
                return Reply(response.status, body, send_count)
        except aiohttp.ClientConnectorError:
            return Reply(0, {}, send_count, "refused")
        except TimeoutError:
            return Reply(0, {}, send_count, "timeout")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Reply(0, {}, send_count, f"cut: {type(error).__name__}")

    async def _get_addresses(self) -> list[EntryAddress]:
        """Returns the cached addresses; refreshes them once they expire."""
        loop = asyncio.get_running_loop()
        if loop.time() < self._addresses_expire_s:
            return self._addresses
        async with self._refresh_lock:
            if loop.time() >= self._addresses_expire_s:
                await self._refresh_addresses()
        return self._addresses

    async def _refresh_addresses(self) -> None:
        """Requests addresses from hosts in random order until one replies."""
        loop = asyncio.get_running_loop()
        shuffled_urls = self._random.sample(
            self._entry_urls, len(self._entry_urls)
        )
        timeout = aiohttp.ClientTimeout(total=ADDRESS_TIMEOUT_S)
        for url in shuffled_urls:
            requested_s = loop.time()
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
            self._addresses = self._fixed_addresses or [
                EntryAddress(
                    each["zone"], f"http://{each['host']}:{each['port']}"
                )
                for each in document["addresses"]
            ]
            self._ticket_prefix = document["ticket_prefix"]
            self._addresses_expire_s = requested_s + document["ttl_s"]
            return
