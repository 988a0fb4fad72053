"""Tests of the command line against fake daemons in the same process.

Each command runs in a separate thread because it starts its own event loop.
"""

import asyncio
import contextlib
import io
import json
import random
import runpy

from aiohttp import web
from cleo.testers import application_tester
import pytest

from eelgrasshall import clock
from eelgrasshall import errors
from eelgrasshall.commands import base
from eelgrasshall.commands import exit_codes
from eelgrasshall.commands import main
from eelgrasshall.protocol import admin as admin_protocol
from eelgrasshall.state import configuration
from eelgrasshall.transport import admin

_UNREACHABLE_URL = "http://127.0.0.1:1"

_PROGRAM = """
from eelgrasshall import declare

ZONES = declare.make_zones("north", ["a", "b"])

def build():
    service = declare.make_service(
        name="orders",
        zones=ZONES,
        shape=declare.Shape(replicas=2, slots={slots}, connections=4),
        locate=lambda name: ("10.0.0." + name[-1], 9000),
    )
    kind = declare.Kind(name="find", services=("orders",))
    return declare.compose(zones=ZONES, services=[service], kinds=[kind])

if __name__ == "__main__":
    declare.main(build)
"""


class _FakeClock(clock.Clock):
    """Advances by the time slept, without waiting."""

    def __init__(self):
        self._now_s = 0.0

    def monotonic(self):
        return self._now_s

    async def sleep(self, seconds):
        self._now_s += seconds
        await asyncio.sleep(0)


class _FakeDaemon:
    """Admin handler of a daemon with one other member."""

    def __init__(self):
        self.body = b""
        self.problems = []
        self.lost_replies = 0
        # Versions that the other member reports, one per status request.
        self.reported_versions = []

    @property
    def version(self):
        return json.loads(self.body)["version"] if self.body else 0

    def read_status(self):
        other = (
            self.reported_versions.pop(0)
            if self.reported_versions
            else self.version
        )
        members = [("entry-1", "a", self.version), ("entry-2", "b", other)]
        return admin_protocol.Status(
            name="entry-1",
            zone="a",
            state="serving",
            configuration_version=self.version,
            members=tuple(
                admin_protocol.MemberStatus(name, zone, "alive", version)
                for name, zone, version in members
            ),
            store_reachable=True,
            owned_services=3,
            breaches=0,
        )

    def dump(self):
        return {"queues": {"orders": 4}, "tickets": {}}

    def render_metrics(self):
        return b""

    def read_configuration(self):
        return self.body

    async def apply_configuration(self, body, base_version):
        if self.problems:
            return self.problems
        if body != self.body:
            assert base_version == self.version
            self.body = body
        if self.lost_replies:
            self.lost_replies -= 1
            asyncio.current_task().cancel()
            await asyncio.sleep(0)
        return []


@pytest.fixture
def daemon():
    return _FakeDaemon()


@pytest.fixture
async def run(daemon):
    """Runs a command line; returns exit code, output and error output."""
    server = admin.AdminServer(handler=daemon)
    port = await server.start("127.0.0.1", 0)
    environment = {base.DAEMON_VARIABLE: f"http://127.0.0.1:{port}"}
    context = base.Context(
        clock=_FakeClock(), random=random.Random(1), environment=environment
    )

    def execute(line):
        tester = application_tester.ApplicationTester(
            main.make_application(context)
        )
        code = tester.execute(line)
        return code, tester.io.fetch_output(), tester.io.fetch_error()

    async def run_line(line, caller=""):
        environment[base.CALLER_VARIABLE] = caller
        return await asyncio.to_thread(execute, line)

    yield run_line
    await server.stop()


@pytest.fixture
def program(tmp_path):
    path = tmp_path / "deployment.py"
    path.write_text(_PROGRAM.format(slots=2))
    return path


async def test_print_output_equals_program_output(run, program):
    code, output, _ = await run(f"print {program}")
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        runpy.run_path(str(program), run_name="__main__")
    assert code == exit_codes.ExitCode.DONE
    assert output == printed.getvalue()
    assert (await run(f"print {program}"))[1] == output


async def test_check_reports_every_problem(run, program):
    program.write_text(_PROGRAM.format(slots=9))
    code, output, error = await run(f"check {program} --json")
    assert code == exit_codes.ExitCode.INVALID
    problems = json.loads(output)["problems"]
    assert [p["where"] for p in problems] == [
        "services.orders.orders-1",
        "services.orders.orders-2",
    ]
    assert "Declare as many connections as slots" in error


@pytest.mark.parametrize(
    ("text", "where", "what"),
    [
        ("x = 1\ny = 1 / 0\n", "deployment.py:2", "ZeroDivisionError"),
        ("x = 1\ny = (\n", "deployment.py:2", "SyntaxError"),
        ("x = 1\n", "deployment.py", "no function build()"),
        (
            "def build():\n    return 3\n",
            "deployment.py",
            "no function build()",
        ),
    ],
)
async def test_failing_program_is_reported_with_line(
    run, program, text, where, what
):
    program.write_text(text)
    code, _, error = await run(f"check {program}")
    assert code == exit_codes.ExitCode.INVALID
    assert where in error
    assert what in error


async def test_apply_resolves_difference(run, program, daemon):
    code, output, _ = await run(f"diff {program}")
    assert code == exit_codes.ExitCode.DIFFERENT
    assert "+ services.orders (2 backend servers)" in output
    code, output, _ = await run(f"apply {program}")
    assert (code, daemon.version) == (exit_codes.ExitCode.DONE, 1)
    assert len(json.loads(daemon.body)["change_id"]) == 32
    assert (await run(f"diff {program}"))[0] == exit_codes.ExitCode.DONE
    code, output, _ = await run(f"apply {program}")
    assert "already has these contents" in output
    assert daemon.version == 1
    program.write_text(_PROGRAM.format(slots=3))
    _, output, _ = await run(f"diff {program} --json")
    assert json.loads(output)["changes"][0] == {
        "where": "services.orders.orders-1.slots",
        "before": 2,
        "after": 3,
    }


async def test_apply_waits_and_prints_lagging_hosts(run, program, daemon):
    daemon.reported_versions = [0, None, 1]
    code, output, error = await run(f"apply {program} --wait")
    assert code == exit_codes.ExitCode.DONE
    assert "in force on 1 of 2 live hosts, waiting for entry-2" in error
    assert "in force on all 2 live hosts" in output


async def test_apply_stops_waiting_after_timeout(run, program, daemon):
    daemon.reported_versions = [0] * 100
    code, output, _ = await run(f"apply {program} --wait --timeout 5 --json")
    assert code == exit_codes.ExitCode.NOT_EVERYWHERE
    assert json.loads(output)["lagging"] == ["entry-2"]


async def test_apply_keeps_zone_out_of_service(run, program, daemon):
    await run(f"apply {program}")
    assert (await run("zone out b"))[0] == exit_codes.ExitCode.DONE
    parsed, _ = configuration.parse_configuration(daemon.body)
    assert parsed.get_zones_in_service() == {"a"}
    program.write_text(_PROGRAM.format(slots=3))
    _, _, error = await run(f"apply {program}")
    assert "Zone b stays out of service." in error
    parsed, _ = configuration.parse_configuration(daemon.body)
    assert parsed.get_zones_in_service() == {"a"}
    assert (await run("zone out a"))[0] == exit_codes.ExitCode.INVALID
    assert (await run("zone out c"))[0] == exit_codes.ExitCode.INVALID
    assert (await run("zone in b"))[0] == exit_codes.ExitCode.DONE
    parsed, _ = configuration.parse_configuration(daemon.body)
    assert parsed.version == 4
    assert parsed.get_zones_in_service() == {"a", "b"}


@pytest.mark.parametrize(
    ("kind", "code"),
    [
        (
            errors.ProblemKind.CONFIGURATION_CONFLICT,
            exit_codes.ExitCode.CONFLICT,
        ),
        (errors.ProblemKind.STORE_UNAVAILABLE, exit_codes.ExitCode.UNAVAILABLE),
        (errors.ProblemKind.INVALID_CONFIGURATION, exit_codes.ExitCode.INVALID),
    ],
)
async def test_exit_code_of_rejected_change(run, program, daemon, kind, code):
    daemon.problems = [errors.Problem(kind, "there", "Wrong.", "Correct it.")]
    got, _, error = await run(f"apply {program}")
    assert got == code
    assert "error: there: Wrong. Correct it." in error


async def test_change_is_sent_again_after_lost_reply(run, program, daemon):
    daemon.lost_replies = 2
    code, output, _ = await run(f"apply {program}")
    assert code == exit_codes.ExitCode.DONE
    assert "Version 1 is accepted" in output
    assert daemon.version == 1


async def test_outcome_is_unknown_if_all_replies_are_lost(run, program, daemon):
    daemon.lost_replies = 100
    code, _, error = await run(f"apply {program}")
    assert code == exit_codes.ExitCode.UNKNOWN
    assert "check before sending it again" in error


async def test_outcome_is_unknown_after_internal_server_error(
    run, program, daemon
):
    async def raise_error(*_):
        raise ValueError("broken")

    daemon.apply_configuration = raise_error
    code, _, error = await run(f"apply {program}")
    assert code == exit_codes.ExitCode.UNKNOWN
    assert "HTTP 500" in error


async def test_unreachable_daemon_is_skipped_or_reported(run, program):
    code, output, error = await run(f"status -d {_UNREACHABLE_URL} --json")
    assert code == exit_codes.ExitCode.UNREACHABLE
    assert json.loads(output)["problems"][0]["kind"] == "unreachable"
    assert "Start a daemon" in error
    _, listed, _ = await run("status --json")
    url = next(iter(json.loads(listed)))
    code, output, error = await run(f"status -d {_UNREACHABLE_URL} -d {url}")
    assert code == exit_codes.ExitCode.UNREACHABLE
    assert "entry-1 in a: serving" in output
    assert _UNREACHABLE_URL in error
    code, _, _ = await run(f"apply {program} -d {_UNREACHABLE_URL} -d {url}")
    assert code == exit_codes.ExitCode.DONE


async def test_dump_of_one_part(run):
    code, output, _ = await run("dump --part queues")
    assert code == exit_codes.ExitCode.DONE
    assert list(json.loads(output).values()) == [{"orders": 4}]
    code, _, error = await run("dump --part queue")
    assert code == exit_codes.ExitCode.INVALID
    assert "Use one of queues, tickets." in error


class _FakeCallerListener:
    """Caller listener that returns `outcome` and records the requests."""

    def __init__(self):
        self.status = 200
        self.outcome = {}
        self.requests = []
        self.idempotency_keys = []

    async def handle_query(self, request):
        if "Idempotency-Key" in request.headers:
            self.idempotency_keys.append(request.headers["Idempotency-Key"])
        self.requests.append(await request.json())
        return web.json_response(self.outcome, status=self.status)

    async def list_addresses(self, request):
        address = {
            "name": "entry-1",
            "zone": request.query.get("zone", ""),
            "host": "127.0.0.1",
            "port": 7100,
        }
        return web.json_response(
            {"ttl_s": 5.0, "addresses": [address], "ticket_prefix": "e1.7."}
        )


@pytest.fixture
async def listener():
    return _FakeCallerListener()


@pytest.fixture
async def caller_url(listener):
    app = web.Application()
    app.router.add_post("/v1/query", listener.handle_query)
    app.router.add_get("/v1/addresses", listener.list_addresses)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    yield f"http://127.0.0.1:{runner.addresses[0][1]}"
    await runner.cleanup()


def _make_answer(*missing):
    return {
        "outcome": "answer",
        "complete": not missing,
        "snapshot": "1.7",
        "coverage": {
            "key_share": 0.5 if missing else 1.0,
            "covered": ["orders-1"],
            "missing": [
                {"service": name, "what": "It is down."} for name in missing
            ],
        },
        "data": [{"service": "orders-1", "records": [1, 2]}],
    }


async def test_addresses_are_listed(run, caller_url):
    code, output, _ = await run("addresses --zone a", caller_url)
    assert code == exit_codes.ExitCode.DONE
    assert output.splitlines() == [
        "127.0.0.1:7100  entry-1  a",
        "Valid for 5.0 s.",
    ]


async def test_exit_codes_of_complete_and_partial_answers(
    run, listener, caller_url
):
    listener.outcome = _make_answer()
    code, output, _ = await run("query find '{\"x\": 1}'", caller_url)
    assert code == exit_codes.ExitCode.DONE
    assert output.startswith("complete: 1 of 1 services")
    assert listener.requests == [{"kind": "find", "query": {"x": 1}}]
    listener.outcome = _make_answer("orders-2")
    code, output, _ = await run("query find", caller_url)
    assert code == exit_codes.ExitCode.PARTIAL
    assert output.startswith("PARTIAL: 1 of 2 services, 50.0% of the keys")
    assert "missing orders-2: It is down." in output


@pytest.mark.parametrize(
    ("outcome", "extra", "code"),
    [
        ("not_run", {}, exit_codes.ExitCode.INVALID),
        ("not_run", {"retry_after_ms": 40}, exit_codes.ExitCode.UNAVAILABLE),
        ("unknown", {}, exit_codes.ExitCode.UNKNOWN),
    ],
)
async def test_exit_codes_of_rejected_and_failed_requests(
    run, listener, caller_url, outcome, extra, code
):
    problem = {"kind": "x", "where": "a", "what": "Bad.", "remedy": "Mend."}
    listener.status = 503
    listener.outcome = {"outcome": outcome, "problems": [problem], **extra}
    got, output, _ = await run("query find", caller_url)
    assert got == code
    assert "a: Bad. Mend." in output


async def test_once_obtains_and_prints_ticket(run, listener, caller_url):
    listener.outcome = _make_answer()
    _, _, error = await run("query take --once", caller_url)
    ticket = listener.requests[0]["ticket"]
    assert ticket.startswith("e1.7.")
    assert f"ticket: {ticket}" in error
    await run(f"query take --ticket {ticket}", caller_url)
    assert listener.requests[1]["ticket"] == ticket


async def test_idempotency_key_and_first_send_are_sent(
    run, listener, caller_url
):
    listener.outcome = _make_answer()
    await run("query take --key van-12 --first", caller_url)
    assert listener.idempotency_keys == ["van-12"]
    assert listener.requests == [
        {"kind": "take", "query": {}, "first_send": True}
    ]


async def test_invalid_input_is_rejected_before_sending(
    run, listener, caller_url
):
    for line in ("query find '{'", "query find --deadline-ms soon"):
        assert (await run(line, caller_url))[0] == exit_codes.ExitCode.INVALID
    assert listener.requests == []


def test_every_command_has_an_example_in_its_help():
    context = base.Context(
        clock=clock.Clock(), random=random.Random(1), environment={}
    )
    application = main.make_application(context)
    own = [c for c in application.all().values() if isinstance(c, base.Command)]
    assert len(own) == 10
    for command in own:
        assert f"  eelgrasshall {command.name}" in command.help
