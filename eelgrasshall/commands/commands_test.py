"""Tests of the command line against a daemon's listeners in the test.

The commands run in a thread of their own, as they start an event loop.
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
from eelgrasshall.commands import exits
from eelgrasshall.commands import main
from eelgrasshall.protocol import admin as codec
from eelgrasshall.state import configuration
from eelgrasshall.transport import admin

_UNUSED = "http://127.0.0.1:1"

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


class _QuickClock(clock.Clock):
    """Sleeps without waiting and lets the time slept pass."""

    def __init__(self):
        self._slept = 0.0

    def monotonic(self):
        return self._slept

    async def sleep(self, seconds):
        self._slept += seconds
        await asyncio.sleep(0)


class _Daemon:
    """What a daemon does for its operators, with one other member."""

    def __init__(self):
        self.body = b""
        self.problems = []
        self.losses = 0
        # Versions that the other member reports, one for each look.
        self.reports = []

    @property
    def version(self):
        return json.loads(self.body)["version"] if self.body else 0

    def read_status(self):
        other = self.reports.pop(0) if self.reports else self.version
        members = [("entry-1", "a", self.version), ("entry-2", "b", other)]
        return codec.Status(
            name="entry-1",
            zone="a",
            state="serving",
            configuration_version=self.version,
            members=tuple(
                codec.MemberStatus(name, zone, "alive", version)
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
        if self.losses:
            self.losses -= 1
            asyncio.current_task().cancel()
            await asyncio.sleep(0)
        return []


@pytest.fixture
def daemon():
    return _Daemon()


@pytest.fixture
async def run(daemon):
    """Runs a command line; gives exit code, output and error output."""
    server = admin.AdminServer(handler=daemon)
    port = await server.start("127.0.0.1", 0)
    environment = {base.DAEMON_VARIABLE: f"http://127.0.0.1:{port}"}
    context = base.Context(
        clock=_QuickClock(), random=random.Random(1), environment=environment
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


async def test_print_gives_the_same_bytes_as_the_program(run, program):
    code, output, _ = await run(f"print {program}")
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        runpy.run_path(str(program), run_name="__main__")
    assert code == exits.ExitCode.DONE
    assert output == printed.getvalue()
    assert (await run(f"print {program}"))[1] == output


async def test_check_names_every_mistake(run, program):
    program.write_text(_PROGRAM.format(slots=9))
    code, output, error = await run(f"check {program} --json")
    assert code == exits.ExitCode.INVALID
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
async def test_failing_program_is_told_by_its_line(
    run, program, text, where, what
):
    program.write_text(text)
    code, _, error = await run(f"check {program}")
    assert code == exits.ExitCode.INVALID
    assert where in error
    assert what in error


async def test_diff_then_apply_then_no_difference(run, program, daemon):
    code, output, _ = await run(f"diff {program}")
    assert code == exits.ExitCode.DIFFERENT
    assert "+ services.orders (2 backend servers)" in output
    code, output, _ = await run(f"apply {program}")
    assert (code, daemon.version) == (exits.ExitCode.DONE, 1)
    assert len(json.loads(daemon.body)["change_id"]) == 32
    assert (await run(f"diff {program}"))[0] == exits.ExitCode.DONE
    code, output, _ = await run(f"apply {program}")
    assert "declared already" in output
    assert daemon.version == 1
    program.write_text(_PROGRAM.format(slots=3))
    _, output, _ = await run(f"diff {program} --json")
    assert json.loads(output)["changes"][0] == {
        "where": "services.orders.orders-1.slots",
        "before": 2,
        "after": 3,
    }


async def test_apply_waits_and_names_who_lags(run, program, daemon):
    daemon.reports = [0, None, 1]
    code, output, error = await run(f"apply {program} --wait")
    assert code == exits.ExitCode.DONE
    assert "in force on 1 of 2 live hosts, waiting for entry-2" in error
    assert "in force on all 2 live hosts" in output


async def test_apply_gives_up_waiting_after_the_time(run, program, daemon):
    daemon.reports = [0] * 100
    code, output, _ = await run(f"apply {program} --wait --timeout 5 --json")
    assert code == exits.ExitCode.NOT_EVERYWHERE
    assert json.loads(output)["lagging"] == ["entry-2"]


async def test_zone_out_and_in_and_apply_keeps_it_out(run, program, daemon):
    await run(f"apply {program}")
    assert (await run("zone out b"))[0] == exits.ExitCode.DONE
    parsed, _ = configuration.parse_configuration(daemon.body)
    assert parsed.get_zones_in_service() == {"a"}
    program.write_text(_PROGRAM.format(slots=3))
    _, _, error = await run(f"apply {program}")
    assert "The zone b is out and stays out." in error
    parsed, _ = configuration.parse_configuration(daemon.body)
    assert parsed.get_zones_in_service() == {"a"}
    assert (await run("zone out a"))[0] == exits.ExitCode.INVALID
    assert (await run("zone out c"))[0] == exits.ExitCode.INVALID
    assert (await run("zone in b"))[0] == exits.ExitCode.DONE
    parsed, _ = configuration.parse_configuration(daemon.body)
    assert parsed.version == 4
    assert parsed.get_zones_in_service() == {"a", "b"}


@pytest.mark.parametrize(
    ("kind", "code"),
    [
        (errors.ProblemKind.CONFIGURATION_CONFLICT, exits.ExitCode.CONFLICT),
        (errors.ProblemKind.STORE_UNAVAILABLE, exits.ExitCode.UNAVAILABLE),
        (errors.ProblemKind.INVALID_CONFIGURATION, exits.ExitCode.INVALID),
    ],
)
async def test_refused_change_has_its_exit_code(
    run, program, daemon, kind, code
):
    daemon.problems = [errors.Problem(kind, "there", "Wrong.", "Mend it.")]
    got, _, error = await run(f"apply {program}")
    assert got == code
    assert "error: there: Wrong. Mend it." in error


async def test_lost_reply_is_resolved_by_sending_again(run, program, daemon):
    daemon.losses = 2
    code, output, _ = await run(f"apply {program}")
    assert code == exits.ExitCode.DONE
    assert "Version 1 is accepted" in output
    assert daemon.version == 1


async def test_lost_replies_without_end_are_unknown(run, program, daemon):
    daemon.losses = 100
    code, _, error = await run(f"apply {program}")
    assert code == exits.ExitCode.UNKNOWN
    assert "look before you repeat it" in error


async def test_reply_without_a_reason_is_unknown(run, program, daemon):
    async def break_down(*_):
        raise ValueError("broken")

    daemon.apply_configuration = break_down
    code, _, error = await run(f"apply {program}")
    assert code == exits.ExitCode.UNKNOWN
    assert "HTTP 500" in error


async def test_unreachable_daemon_is_skipped_or_told(run, program):
    code, output, error = await run(f"status -d {_UNUSED} --json")
    assert code == exits.ExitCode.UNREACHABLE
    assert json.loads(output)["problems"][0]["kind"] == "unreachable"
    assert "Start one" in error
    _, listed, _ = await run("status --json")
    url = next(iter(json.loads(listed)))
    code, output, error = await run(f"status -d {_UNUSED} -d {url}")
    assert code == exits.ExitCode.UNREACHABLE
    assert "entry-1 in a: serving" in output
    assert _UNUSED in error
    code, _, _ = await run(f"apply {program} -d {_UNUSED} -d {url}")
    assert code == exits.ExitCode.DONE


async def test_dump_of_one_part(run):
    code, output, _ = await run("dump --part queues")
    assert code == exits.ExitCode.DONE
    assert list(json.loads(output).values()) == [{"orders": 4}]
    code, _, error = await run("dump --part queue")
    assert code == exits.ExitCode.INVALID
    assert "Name one of queues, tickets." in error


class _CallerListener:
    """Answers callers with a set outcome and keeps what they sent."""

    def __init__(self):
        self.status = 200
        self.outcome = {}
        self.seen = []
        self.keys = []

    async def answer(self, request):
        if "Idempotency-Key" in request.headers:
            self.keys.append(request.headers["Idempotency-Key"])
        self.seen.append(await request.json())
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
    return _CallerListener()


@pytest.fixture
async def caller_url(listener):
    app = web.Application()
    app.router.add_post("/v1/query", listener.answer)
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
    assert code == exits.ExitCode.DONE
    assert output.splitlines() == [
        "127.0.0.1:7100  entry-1  a",
        "To be kept for 5.0 s.",
    ]


async def test_complete_and_partial_answers_differ(run, listener, caller_url):
    listener.outcome = _make_answer()
    code, output, _ = await run("query find '{\"x\": 1}'", caller_url)
    assert code == exits.ExitCode.DONE
    assert output.startswith("complete: 1 of 1 services")
    assert listener.seen == [{"kind": "find", "query": {"x": 1}}]
    listener.outcome = _make_answer("orders-2")
    code, output, _ = await run("query find", caller_url)
    assert code == exits.ExitCode.PARTIAL
    assert output.startswith("PARTIAL: 1 of 2 services, 50.0% of the keys")
    assert "missing orders-2: It is down." in output


@pytest.mark.parametrize(
    ("outcome", "extra", "code"),
    [
        ("not_run", {}, exits.ExitCode.INVALID),
        ("not_run", {"retry_after_ms": 40}, exits.ExitCode.UNAVAILABLE),
        ("unknown", {}, exits.ExitCode.UNKNOWN),
    ],
)
async def test_refusal_and_failure_have_their_exit_codes(
    run, listener, caller_url, outcome, extra, code
):
    problem = {"kind": "x", "where": "a", "what": "Bad.", "remedy": "Mend."}
    listener.status = 503
    listener.outcome = {"outcome": outcome, "problems": [problem], **extra}
    got, output, _ = await run("query find", caller_url)
    assert got == code
    assert "a: Bad. Mend." in output


async def test_once_takes_a_ticket_and_tells_it(run, listener, caller_url):
    listener.outcome = _make_answer()
    _, _, error = await run("query take --once", caller_url)
    ticket = listener.seen[0]["ticket"]
    assert ticket.startswith("e1.7.")
    assert f"ticket: {ticket}" in error
    await run(f"query take --ticket {ticket}", caller_url)
    assert listener.seen[1]["ticket"] == ticket


async def test_key_and_first_send_are_sent(run, listener, caller_url):
    listener.outcome = _make_answer()
    await run("query take --key van-12 --first", caller_url)
    assert listener.keys == ["van-12"]
    assert listener.seen == [{"kind": "take", "query": {}, "first_send": True}]


async def test_bad_input_is_refused_before_sending(run, listener, caller_url):
    for line in ("query find '{'", "query find --deadline-ms soon"):
        assert (await run(line, caller_url))[0] == exits.ExitCode.INVALID
    assert listener.seen == []


def test_every_command_has_an_example_in_its_help():
    context = base.Context(
        clock=clock.Clock(), random=random.Random(1), environment={}
    )
    application = main.make_application(context)
    own = [c for c in application.all().values() if isinstance(c, base.Command)]
    assert len(own) == 10
    for command in own:
        assert f"  eelgrasshall {command.name}" in command.help
