"""Fetches what another host knows and this one does not.

Heartbeats carry the revisions up to which a host knows each collection.  A
host that is behind asks the sender for the rest over HTTP; a host that has
just started asks its seeds, so that it serves also while the store is out.
"""

import asyncio
from collections.abc import Sequence
from typing import Any

from eelgrasshall.gateway import belief as beliefs
from eelgrasshall.gateway import client
from eelgrasshall.gateway import events
from eelgrasshall.gateway import model

BELIEF_PATH = "/-/peer/belief"
# Longest time of one exchange.
TIMEOUT_S = 1.0
# Changes that come within this time are fetched together.
GATHER_S = 0.01
# Pause after a fetch that failed.
FAILURE_PAUSE_S = 0.2


def encode_belief(
    belief: beliefs.Belief, have: dict[beliefs.Collection, int]
) -> dict[str, Any]:
    """Returns what a host lacks that knows the given revisions."""
    return {
        collection.value: {
            "revision": belief.complete(collection),
            "news": [
                (news.name, news.revision, news.document)
                for news in belief.list_news(collection)
                if news.revision > have.get(collection, 0)
            ],
        }
        for collection in beliefs.Collection
    }


def apply_belief(belief: beliefs.Belief, document: dict[str, Any]) -> int:
    """Takes in what another host sent.

    Returns:
      The number of news that were new here.

    Raises:
      KeyError: The document has another form.
      TypeError: The document has another form.
      ValueError: The document has another form.
    """
    changed = 0
    for collection in beliefs.Collection:
        part = document[collection.value]
        for name, revision, spec in part["news"]:
            news = beliefs.News(collection, name, revision, spec)
            changed += belief.apply(news)
        belief.advance(collection, part["revision"])
    return changed


def parse_have(query: str) -> dict[beliefs.Collection, int]:
    """Reads the revisions that a host says it knows.

    Raises:
      ValueError: The text has another form.
    """
    numbers = [int(each) for each in query.split(",")] if query else []
    return dict(zip(beliefs.Collection, numbers, strict=False))


class Exchange:
    """Fetches belief from other hosts, one exchange at a time.

    Args:
      belief: What to complete.
      log: Where failures are noted.
    """

    def __init__(self, *, belief: beliefs.Belief, log: events.EventLog):
        self._belief = belief
        self._log = log
        self._task: asyncio.Task | None = None

    def notice(
        self, name: str, address: model.Address, known: Sequence[int]
    ) -> None:
        """Takes the revisions that a host says it knows, in order."""
        behind = any(
            revision > self._belief.complete(collection)
            for collection, revision in zip(
                beliefs.Collection, known, strict=False
            )
        )
        if behind and (self._task is None or self._task.done()):
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._fetch_soon(name, address))

    async def fetch_first(
        self, seeds: Sequence[model.Address], wait_s: float
    ) -> None:
        """Asks hosts in turn until one has given something.

        Args:
          seeds: The hosts.
          wait_s: Seconds for which to ask again; 0 asks each once.
        """
        loop = asyncio.get_running_loop()
        latest_s = loop.time() + wait_s
        while True:
            for address in seeds:
                if await self.fetch(str(address), address) and all(
                    self._belief.revision(each) for each in beliefs.Collection
                ):
                    return
            if loop.time() >= latest_s:
                return
            await asyncio.sleep(FAILURE_PAUSE_S)

    async def fetch(self, name: str, address: model.Address) -> bool:
        """Fetches what a host knows; False if that failed."""
        have = ",".join(
            str(self._belief.complete(each)) for each in beliefs.Collection
        )
        caller = client.JsonClient(address=address)
        try:
            answer = await caller.call(
                "GET", f"{BELIEF_PATH}?{have}", timeout_s=TIMEOUT_S
            )
            if answer.status != 200:
                raise client.CallError(f"status {answer.status}")
            changed = apply_belief(self._belief, answer.document)
        except (client.CallError, KeyError, TypeError, ValueError) as error:
            self._log.record("exchange_failed", peer=name, reason=str(error))
            return False
        finally:
            caller.close()
        if changed:
            self._log.record("exchange", peer=name, changed=changed)
        return True

    def stop(self) -> None:
        """Ends an exchange that is under way."""
        if self._task is not None:
            self._task.cancel()

    async def _fetch_soon(self, name: str, address: model.Address) -> None:
        """Fetches after a moment in which more changes may come."""
        await asyncio.sleep(GATHER_S)
        if not await self.fetch(name, address):
            await asyncio.sleep(FAILURE_PAUSE_S)
