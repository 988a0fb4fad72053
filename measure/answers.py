"""Verification of answers against the records of the fake backend servers.

The records of the fakes are a pure function of key range, snapshot and query.
A single answer therefore shows whether its parts come from one snapshot,
whether they belong to the query and whether its coverage is correct.
"""

import json
from typing import Any

from eelgrasshall.fakes import records
from eelgrasshall.protocol import messages
from eelgrasshall.state import configuration as configurations

KeyRangesByService = dict[str, messages.KeyRange]


def encode_query(query: Any) -> bytes:
    """Encodes a query as the bytes that the backend servers receive."""
    return json.dumps(query, separators=(",", ":"), sort_keys=True).encode()


class AnswerChecker:
    """Verifies answers.

    Args:
      configuration: Configuration with the kinds and services.
      key_ranges_by_epoch: Key range of each service in each epoch of the
        shard map.
    """

    def __init__(
        self,
        *,
        configuration: configurations.Configuration,
        key_ranges_by_epoch: dict[int, KeyRangesByService],
    ):
        self._services = {
            kind.name: set(kind.services) for kind in configuration.kinds
        }
        self.key_ranges_by_epoch = key_ranges_by_epoch

    def check(
        self, answer: dict[str, Any], kind: str, request_id: str, query: Any
    ) -> list[str]:
        """Returns the errors in an answer; empty if it is correct.

        Args:
          answer: JSON body of a response with outcome `answer`.
          kind: Kind of the request.
          request_id: Id of the request.
          query: Query of the request.
        """
        errors = []
        if answer["request_id"] != request_id:
            errors.append(f"right caller: answer to {answer['request_id']!r}")
        snapshot = messages.parse_snapshot(answer["snapshot"] or "")
        if snapshot is None or snapshot.epoch not in self.key_ranges_by_epoch:
            return [
                *errors,
                f"one snapshot: unknown snapshot {answer['snapshot']!r}",
            ]
        errors += self._check_coverage(answer, kind)
        body = encode_query(query)
        key_ranges = self.key_ranges_by_epoch[snapshot.epoch]
        for part in answer["data"]:
            service = part["service"]
            expected = records.compute_records(
                key_ranges[service], snapshot, body
            )
            if part["records"] != expected:
                errors.append(f"records of {service}: {part['records'][:2]}")
        return errors

    def _check_coverage(self, answer: dict[str, Any], kind: str) -> list[str]:
        """Returns errors in the coverage that an answer reports."""
        errors = []
        coverage = answer["coverage"]
        covered = coverage["covered"]
        missing = [each["service"] for each in coverage["missing"]]
        received = [part["service"] for part in answer["data"]]
        if sorted(covered) != sorted(received):
            errors.append(f"coverage: {covered} covered, {received} received")
        if sorted(covered + missing) != sorted(self._services[kind]):
            errors.append(f"coverage: {covered} + {missing} differ from {kind}")
        if answer["complete"] != (not missing):
            errors.append(
                f"coverage: complete={answer['complete']}, missing {missing}"
            )
        return errors
