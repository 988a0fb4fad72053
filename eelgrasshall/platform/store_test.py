"""Tests for the store client, against a fake store."""

import asyncio
import contextlib
import json

import pytest

from eelgrasshall.fakes import ports
from eelgrasshall.gateway import fakes as gateway_fakes
from eelgrasshall.gateway import model
from eelgrasshall.gateway import object_cache
from eelgrasshall.gateway import watcher
from eelgrasshall.platform import fake_store
from eelgrasshall.platform import store
from eelgrasshall.platform import wire_names

_SERVERS = object_cache.Collection.SERVERS


@contextlib.asynccontextmanager
async def _open():
    fake = fake_store.FakeStore()
    with ports.PortRange(count=1) as reserved:
        address = model.Address("127.0.0.1", reserved.first)
        await fake.start(address)
        client = store.StoreClient(address=address)
        try:
            yield fake, client
        finally:
            client.close()
            fake.stop()


async def test_read_all_reads_every_page():
    async with _open() as (fake, client):
        fake.page_size = 3
        for number in range(8):
            fake.put("servers", f"i-{number}", {"n": number})
        listing = await client.read_all(_SERVERS)
        assert [each.name for each in listing.updates] == [
            f"i-{number}" for number in range(8)
        ]
        assert listing.revision == 8


@pytest.mark.parametrize("changed_before_page", [2, 3])
async def test_changes_between_two_pages_are_found_by_the_next_watch(
    changed_before_page,
):
    # The listing had the revision of its last page, so that a server which was
    # deleted from a page that had been read stayed for good (DRAIN, review/5).
    async with _open() as (fake, client):
        fake.page_size = 3
        for number in range(8):
            fake.put("servers", f"i-{number}", {"n": number})
        list_page, pages = fake._list, []

        def change_between_pages(kind, after):
            pages.append(after)
            if len(pages) == changed_before_page:
                fake.delete("servers", "i-1")
                fake.put("servers", "i-00", {"n": 8})
                fake.put("servers", "i-2", {"n": 9})
                fake.delete("servers", "i-7")
            return list_page(kind, after)

        fake._list = change_between_pages
        listing = await client.read_all(_SERVERS)
        known = {each.name: each.document for each in listing.updates}
        assert len(pages) == 3 and "i-1" in known
        changes = await client.wait_for_changes(_SERVERS, listing.revision, 1.0)
        known.update({each.name: each.document for each in changes.updates})
        servers = {name for name, document in known.items() if document}
        assert servers == {f"i-{number}" for number in (0, 2, 3, 4, 5, 6)} | {
            "i-00"
        }
        assert known["i-2"]["spec"] == {"n": 9}


async def test_wait_returns_changes_and_deletions():
    async with _open() as (fake, client):
        fake.put("servers", "i-1", {"n": 1})
        fake.put("servers", "i-2", {"n": 2})
        fake.delete("servers", "i-1")
        listing = await client.wait_for_changes(_SERVERS, 1, 1.0)
        assert [(each.name, each.document) for each in listing.updates] == [
            ("i-2", {"name": "i-2", "spec": {"n": 2}}),
            ("i-1", None),
        ]
        assert listing.revision == 3
        empty = await client.wait_for_changes(_SERVERS, 3, 0.01)
        assert empty.updates == ()


async def test_wait_reports_dropped_history():
    async with _open() as (fake, client):
        fake.put("servers", "i-1", {})
        fake.drop_history()
        result = await client.wait_for_changes(_SERVERS, 0, 1.0)
        assert isinstance(result, watcher.HistoryGone)


async def test_refusing_or_unresponsive_store_is_unavailable(monkeypatch):
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.05)
    monkeypatch.setattr(store, "WATCH_TIMEOUT_MARGIN_S", 0.05)
    async with _open() as (fake, client):
        fake.down = True
        assert isinstance(await client.read_all(_SERVERS), watcher.Unavailable)
        fake.down = False
        fake.swallowing = True
        for result in (
            await client.read_all(_SERVERS),
            await client.wait_for_changes(_SERVERS, 0, 0.01),
        ):
            assert isinstance(result, watcher.Unavailable)
        fake.swallowing = False
        listing = await client.read_all(_SERVERS)
        assert isinstance(listing, object_cache.Listing)


async def test_publish_replaces_existing_object():
    async with _open() as (fake, client):
        host = gateway_fakes.make_host()
        assert await client.publish(host)
        assert await client.publish(host)
        kind = wire_names.OBJECT_KINDS[object_cache.Collection.HOSTS]
        assert fake.list_names(kind) == [host.name]
        fake.down = True
        assert not await client.publish(host)


async def test_read_all_ignores_other_configurations():
    async with _open() as (fake, client):
        fake.put("config", "other", {"version": 9})
        fake.put("config", "main", {"version": 1})
        listing = await client.read_all(object_cache.Collection.CONFIGURATION)
        assert [each.name for each in listing.updates] == ["main"]


async def test_read_all_skips_objects_without_name():
    async with _open() as (fake, client):
        fake.put("servers", "i-1", {})
        fake._objects["servers"]["bad"] = {"spec": {}}
        listing = await client.read_all(_SERVERS)
        assert [each.name for each in listing.updates] == ["i-1"]


@pytest.mark.parametrize("bound_s", [3.0, 5.0])
def test_change_is_in_time_after_watch_without_response(bound_s):
    max_delay_s = (
        bound_s * watcher.WATCH_TIMEOUT_SHARE
        + store.WATCH_TIMEOUT_MARGIN_S
        + watcher.MIN_BACKOFF_S
        + watcher.MIN_BATCH_DELAY_S
    )
    assert max_delay_s < bound_s


async def test_revisions_contain_the_era_that_the_store_states():
    async with _open() as (fake, client):
        fake.era = 3
        fake.put("servers", "i-1", {"n": 1})
        listing = await client.read_all(_SERVERS)
        assert listing.revision == object_cache.make_revision(3, 1)
        assert listing.updates[0].revision == listing.revision
        fake.put("servers", "i-2", {"n": 2})
        changes = await client.wait_for_changes(_SERVERS, listing.revision, 1.0)
        assert changes.revision == object_cache.make_revision(3, 2)
        assert ("GET", "/-/objects/servers?watch=1&waitMs=1000") in fake.calls


async def test_watch_of_an_earlier_era_has_no_history():
    # The store has given the same revisions out again, so that it would answer
    # the watch as if nothing had happened.
    async with _open() as (fake, client):
        fake.era = 1
        fake.put("servers", "i-1", {})
        stored = fake.take_copy()
        fake.put("servers", "i-2", {})
        listing = await client.read_all(_SERVERS)
        fake.restore(stored)
        assert isinstance(
            await client.wait_for_changes(_SERVERS, listing.revision, 0.01),
            watcher.HistoryGone,
        )
        for number in range(3):
            fake.put("servers", f"i-{number + 5}", {})
        assert isinstance(
            await client.wait_for_changes(_SERVERS, listing.revision, 0.01),
            watcher.HistoryGone,
        )
        later = await client.read_all(_SERVERS)
        assert later.revision > listing.revision


async def test_listing_over_two_eras_is_not_used(monkeypatch):
    async with _open() as (fake, client):
        fake.era, fake.page_size = 1, 2
        for number in range(4):
            fake.put("servers", f"i-{number}", {})
        list_page = fake._list

        def list_and_restore(kind, after):
            if after:
                fake.restore(fake.take_copy())
            return list_page(kind, after)

        monkeypatch.setattr(fake, "_list", list_and_restore)
        assert isinstance(await client.read_all(_SERVERS), watcher.Unavailable)


@pytest.mark.parametrize("text", [b"", b"x", b"-1", b"1.5", b"9" * 5000])
async def test_malformed_era_is_ignored(monkeypatch, text):
    async with _open() as (fake, client):
        fake.put("servers", "i-1", {})
        answer = fake._answer

        async def answer_with_era(request):
            response = await answer(request)
            response.headers.append((b"Store-Era", text))
            return response

        monkeypatch.setattr(fake, "_answer", answer_with_era)
        listing = await client.read_all(_SERVERS)
        assert listing.revision == 1
        changes = await client.wait_for_changes(_SERVERS, 1, 0.01)
        assert changes.revision == 1


_ROLLOUTS = object_cache.Collection.ROLLOUTS
_RUNNING = model.Rollout("orders", "v2", 12.0, model.RolloutState.RUNNING)


async def test_status_of_a_rollout_is_written_on_its_revision_only():
    async with _open() as (fake, client):
        spec = {"service": "orders", "targetVersion": "v2", "periodS": 12}
        fake.put("rollouts", "orders", spec)
        revision = object_cache.make_revision(2, 1)
        assert await client.write_rollout_status(_RUNNING, revision) is True
        status = {"state": "running", "targetVersion": "v2"}
        assert fake.get_status("rollouts", "orders") == status
        assert fake.get_spec("rollouts", "orders") == spec
        ended = _RUNNING._replace(state=model.RolloutState.ROLLED_BACK)
        # The revision is the one before the last write.
        assert await client.write_rollout_status(ended, revision) is False
        assert fake.get_status("rollouts", "orders") == status
        listing = await client.read_all(_ROLLOUTS)
        (update,) = listing.updates
        assert update.revision == 2
        assert update.document["status"] == status
        assert ("PUT", "/-/objects/rollouts/orders/status") in fake.calls


async def test_write_without_an_answer_is_neither_accepted_nor_refused():
    async with _open() as (fake, client):
        fake.put("rollouts", "orders", {})
        fake.down = True
        assert await client.write_rollout_status(_RUNNING, 1) is None


async def test_listing_beside_a_watch_gets_its_own_response():
    # The writer of rollouts lists what the watcher watches.  Both calls were
    # sent on one connection: the listing got the response to the watch, and the
    # watch was deaf until its time-out.
    async with _open() as (fake, client):
        fake.put("rollouts", "orders", {"n": 1})
        watch = asyncio.ensure_future(
            client.wait_for_changes(_ROLLOUTS, 1, 1.0)
        )
        await asyncio.sleep(0.05)
        listing = await asyncio.wait_for(client.read_all(_ROLLOUTS), 0.5)
        assert [each.name for each in listing.updates] == ["orders"]
        fake.put("rollouts", "items", {"n": 2})
        changes = await asyncio.wait_for(watch, 0.5)
        assert [each.name for each in changes.updates] == ["items"]
        assert changes.revision == 2


class _Stutterer:
    """A store that sends some responses a second time.

    A copy goes out just after the next call has arrived, before its response.

    Args:
      documents: The responses, in the order of the calls.
      repeated: Indexes of the responses that are sent twice.
    """

    def __init__(self, documents: list, repeated: set[int]):
        self.calls: list[str] = []
        self.connection_count = 0
        self._documents = iter(enumerate(documents))
        self._repeated = repeated
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> model.Address:
        """Starts to listen; returns the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return model.Address(*self._server.sockets[0].getsockname())

    def stop(self) -> None:
        """Closes the listening socket and all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self.connection_count += 1
        copy = b""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.calls.append(head.split()[1].decode().partition("?")[2])
                index, document = next(self._documents)
                body = json.dumps(document).encode()
                response = (
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                    % (len(body), body)
                )
                writer.write(copy)
                # The copy is read before the response arrives.
                await asyncio.sleep(0.02)
                writer.write(response)
                copy = response if index in self._repeated else b""
        writer.close()


@contextlib.asynccontextmanager
async def _open_stutterer(documents: list, repeated: set[int]):
    stutterer = _Stutterer(documents, repeated)
    client = store.StoreClient(address=await stutterer.start())
    try:
        yield stutterer, client
    finally:
        client.close()
        stutterer.stop()


def _make_object(name: str, revision: int) -> dict:
    return {"meta": {"name": name, "revision": revision}, "spec": {}}


def _make_page(*names: str, more: bool) -> dict:
    return {
        "items": [_make_object(name, 1) for name in names],
        "hasMore": more,
        "storeRevision": 1,
    }


def _make_changes(revision: int, *changed: tuple[str, int]) -> dict:
    return {
        "events": [
            {"object": _make_object(*each), "deleted": False}
            for each in changed
        ],
        "storeRevision": revision,
    }


async def test_page_that_is_sent_twice_is_not_the_next_page():
    # The last page was taken for the response to the next call, and the objects
    # of the pages in between for deleted ones.
    first, last = _make_page("a", "b", more=True), _make_page("c", more=False)
    documents = [first, last, first, last]
    async with _open_stutterer(documents, {0}) as (stutterer, client):
        result = await client.read_all(_SERVERS)
        assert result == watcher.Unavailable("a page was sent twice")
        listing = await client.read_all(_SERVERS)
        assert [each.name for each in listing.updates] == ["a", "b", "c"]


async def test_response_of_the_listing_before_does_not_reach_the_next_one():
    # The copy of a last page passed for the whole collection.
    first, last = _make_page("a", "b", more=True), _make_page("c", more=False)
    documents = [first, last, first, last]
    async with _open_stutterer(documents, {1, 3}) as (_, client):
        for _ in range(2):
            listing = await client.read_all(_SERVERS)
            assert [each.name for each in listing.updates] == ["a", "b", "c"]


async def test_responses_to_watches_do_not_stay_one_behind():
    # After a copy, each watch got the response to the one before it.
    documents = [
        _make_changes(2, ("a", 2)),
        _make_changes(3, ("a", 3)),
        _make_changes(4, ("a", 4)),
        _make_changes(5, ("a", 5)),
    ]
    async with _open_stutterer(documents, {0}) as (stutterer, client):
        revision, seen = 1, []
        for _ in range(4):
            result = await client.wait_for_changes(_SERVERS, revision, 0.5)
            revision = max(revision, result.revision)
            seen.append(result.revision)
        # The copy tells nothing new; what follows comes on a new connection.
        assert seen == [2, 2, 4, 5]
        assert stutterer.calls == [
            f"watch={number}&waitMs=500" for number in (1, 2, 2, 4)
        ]
        assert stutterer.connection_count == 2


async def test_response_with_two_eras_is_not_used():
    async with _open() as (fake, client):
        fake.era = 3
        fake.put("servers", "i-1", {})
        answer = fake._answer

        async def answer_with_era(request):
            response = await answer(request)
            response.headers.append((b"store-era", b"2"))
            return response

        fake._answer = answer_with_era
        for result in (
            await client.read_all(_SERVERS),
            await client.wait_for_changes(_SERVERS, 1, 0.01),
        ):
            assert isinstance(result, watcher.Unavailable)
