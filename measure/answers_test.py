import copy

import pytest

from eelgrasshall.fakes import records
from eelgrasshall.protocol import messages
from measure import answers
from measure import shapes

BUILD = shapes.build_shape(
    shapes.make_zones(1), (shapes.Group(kind="search", services=2),)
)
CONFIGURATION = BUILD(lambda name: ("127.0.0.1", 1))
KEYS = shapes.divide_keys_of(CONFIGURATION)
QUERY = {"id": "r1"}


def make_answer(snapshot="1.1"):
    body = answers.format_query(QUERY)
    of = messages.parse_snapshot(snapshot)
    return {
        "request_id": "r1",
        "complete": True,
        "snapshot": snapshot,
        "coverage": {"covered": sorted(KEYS), "missing": []},
        "data": [
            {
                "service": service,
                "records": records.compute_records(keys, of, body),
            }
            for service, keys in KEYS.items()
        ],
    }


def check(answer):
    checker = answers.Checker(
        configuration=CONFIGURATION, keys_by_epoch={1: KEYS}
    )
    return checker.check(answer, "search", "r1", QUERY)


def test_a_true_answer_passes():
    assert check(make_answer()) == []


def drop_part(answer):
    answer["data"].pop()


def mix_snapshots(answer):
    answer["data"][0] = make_answer("1.2")["data"][0]


def claim_complete(answer):
    service = answer["data"].pop()["service"]
    answer["coverage"]["covered"].remove(service)
    answer["coverage"]["missing"].append({"service": service})


def answer_other_request(answer):
    answer["request_id"] = "r2"


def lose_service(answer):
    service = answer["data"].pop()["service"]
    answer["coverage"]["covered"].remove(service)


@pytest.mark.parametrize(
    "spoil",
    [
        drop_part,
        mix_snapshots,
        claim_complete,
        answer_other_request,
        lose_service,
    ],
)
def test_an_untrue_answer_is_found(spoil):
    answer = copy.deepcopy(make_answer())
    spoil(answer)
    assert check(answer)
