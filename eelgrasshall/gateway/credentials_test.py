"""Tests of reading and checking API keys."""

from hypothesis import example
from hypothesis import given
from hypothesis import strategies
import pytest

from eelgrasshall.gateway import credentials
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import messages

_KEY = "k-4d1c9b"
_OWNER = fakes.make_workspace("acme", _KEY, "k-other")
_TABLE = credentials.KeyTable(
    workspaces={
        "acme": _OWNER,
        "zoo": fakes.make_workspace("zoo", "k-zoo"),
    }
)


def _check(*values: bytes, keyless: bool = False) -> credentials.Caller:
    headers = [(b"Authorization", value) for value in values]
    return _TABLE.check(credentials.read_credential(headers), keyless=keyless)


@pytest.mark.parametrize(
    "value",
    [
        b"Bearer k-4d1c9b",
        b"bearer k-4d1c9b",
        b"BEARER k-4d1c9b",
        b"Bearer   k-4d1c9b",
        b"  Bearer k-4d1c9b\t ",
    ],
)
def test_key_identifies_its_workspace(value):
    # A caller with a valid key must not be refused for the way it writes it.
    caller = _check(value)
    assert caller.workspace is _OWNER and caller.fault is None
    assert _TABLE.identify([(b"aUTHORIZATION", value)]) is _OWNER


@pytest.mark.parametrize(
    ("values", "fault"),
    [
        ((), credentials.Fault.MISSING),
        ((b"Bearer k-4d1c9",), credentials.Fault.UNKNOWN),
        ((b"Bearer k-4d1c9bb",), credentials.Fault.UNKNOWN),
        ((b"Bearer K-4D1C9B",), credentials.Fault.UNKNOWN),
        ((b"Bearer " + b"k" * 16384,), credentials.Fault.UNKNOWN),
        ((b"",), credentials.Fault.MALFORMED),
        ((b"Bearer",), credentials.Fault.MALFORMED),
        ((b"Bearer ",), credentials.Fault.MALFORMED),
        ((b"Bearerk-4d1c9b",), credentials.Fault.MALFORMED),
        ((b"Bearer\tk-4d1c9b",), credentials.Fault.MALFORMED),
        ((b"Bearer k-4d1c9b k-4d1c9b",), credentials.Fault.MALFORMED),
        ((b"Bearer k-4d1c9b,",), credentials.Fault.UNKNOWN),
        ((b"Bearer k-4d1c9b\xff",), credentials.Fault.MALFORMED),
        ((b"Basic k-4d1c9b",), credentials.Fault.MALFORMED),
        ((b"k-4d1c9b",), credentials.Fault.MALFORMED),
        ((b"Bearer k-4d1c9b",) * 2, credentials.Fault.REPEATED),
        ((b"Bearer k-zoo", b"Bearer k-4d1c9b"), credentials.Fault.REPEATED),
        ((b"", b"Bearer k-4d1c9b"), credentials.Fault.REPEATED),
    ],
)
def test_other_header_identifies_none(values, fault):
    # A request must not pass for a workspace whose key it does not state, and
    # on a keyless route such a header is ignored.
    caller = _check(*values)
    assert caller.workspace is None and caller.fault is fault
    keyless = _check(*values, keyless=True)
    assert keyless.workspace is None and keyless.fault is None


@given(
    values=strategies.lists(
        strategies.binary(max_size=40)
        | strategies.tuples(
            strategies.sampled_from([b"Bearer ", b"bearer", b"BEARER  ", b""]),
            strategies.sampled_from([_KEY.encode(), b"k-other", b"\xc3\xa9"])
            | strategies.binary(max_size=20),
            strategies.sampled_from([b"", b" ", b"\t", b"\n", b",", b"\0"]),
        ).map(b"".join),
        max_size=3,
    )
)
@example([b"Bearer \xe9" + b"k" * 16384])
@example([b"Bearer " + b" " * 16384 + b"k-4d1c9b"])
def test_only_a_header_that_ends_with_a_key_identifies(values):
    # Arbitrary bytes must neither raise an error nor identify a workspace.
    headers = [(b"Authorization", value) for value in values]
    workspace = _TABLE.identify(headers)
    if workspace is not None:
        (value,) = values
        scheme, key = value.split()
        assert scheme.lower() == b"bearer"
        assert credentials.compute_digest(key) in workspace.key_digests
    caller = _check(*values)
    assert (caller.workspace is None) == (caller.fault is not None)


def test_keys_are_held_as_digests_only():
    # A state dump or an error message that shows a workspace shows no key.
    headers = [(b"Authorization", f"Bearer {_KEY}".encode())]
    credential = credentials.read_credential(headers)
    caller = _TABLE.check(credential, keyless=False)
    for text in (repr(_OWNER), repr(caller), repr(vars(_TABLE))):
        assert _KEY not in text
    assert credential.digest in _OWNER.key_digests


def test_every_fault_of_a_key_has_a_challenge():
    others = {credentials.Fault.NOT_CONFIGURED, credentials.Fault.STALE}
    assert set(credentials.Fault) - others == set(credentials.CHALLENGES)


def test_name_of_a_relayed_request_is_trusted_without_another_mark_only():
    # The previous build passes a caller's headers on and adds its own mark.
    name = (messages.RELAYED_WORKSPACE, b"acme")
    for headers, workspace in (
        ([name], _OWNER),
        ([(b"Eelgrasshall-Relayed", b"h1"), name], None),
        ([name, (b"Eelgrasshall-Relayed", b"h1")], None),
        ([name[:1] + (b"gone",)], None),
    ):
        credential = credentials.read_relayed_credential(headers)
        assert _TABLE.check(credential, keyless=True).workspace is workspace
