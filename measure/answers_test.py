import copy

import pytest

from eelgrasshall.fakes import records
from eelgrasshall.protocol import messages
from measure import answers
from measure import topologies

BUILD = topologies.make_configuration_builder(
    topologies.make_zones(1),
    (topologies.ServiceGroup(kind="search", services=2),),
)
CONFIGURATION = BUILD(lambda name: ("127.0.0.1", 1))
KEY_RANGES = topologies.assign_key_ranges(CONFIGURATION)
QUERY = {"id": "r1"}


def make_answer(snapshot="1.1"):
    body = answers.encode_query(QUERY)
    parsed_snapshot = messages.parse_snapshot(snapshot)
    return {
        "request_id": "r1",
        "complete": True,
        "snapshot": snapshot,
        "coverage": {"covered": sorted(KEY_RANGES), "missing": []},
        "data": [
            {
                "service": service,
                "records": records.compute_records(
                    key_range, parsed_snapshot, body
                ),
            }
            for service, key_range in KEY_RANGES.items()
        ],
    }


def check(answer):
    checker = answers.AnswerChecker(
        configuration=CONFIGURATION, key_ranges_by_epoch={1: KEY_RANGES}
    )
    return checker.check(answer, "search", "r1", QUERY)


def test_correct_answer_has_no_errors():
    assert check(make_answer()) == []


def remove_part(answer):
    answer["data"].pop()


def mix_snapshots(answer):
    answer["data"][0] = make_answer("1.2")["data"][0]


def remove_part_and_keep_complete(answer):
    service = answer["data"].pop()["service"]
    answer["coverage"]["covered"].remove(service)
    answer["coverage"]["missing"].append({"service": service})


def change_request_id(answer):
    answer["request_id"] = "r2"


def remove_service_from_coverage(answer):
    service = answer["data"].pop()["service"]
    answer["coverage"]["covered"].remove(service)


@pytest.mark.parametrize(
    "corrupt",
    [
        remove_part,
        mix_snapshots,
        remove_part_and_keep_complete,
        change_request_id,
        remove_service_from_coverage,
    ],
)
def test_corrupted_answer_has_errors(corrupt):
    answer = copy.deepcopy(make_answer())
    corrupt(answer)
    assert check(answer)
