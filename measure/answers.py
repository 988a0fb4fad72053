"""Checks every answer against what the stand-ins hold.

The records of the stand-ins are a pure function of key range, snapshot and
query.  So one answer alone shows whether its parts come from one snapshot,
whether they answer this query, and whether its coverage is true.
"""

import json
from typing import Any

from eelgrasshall.fakes import records
from eelgrasshall.protocol import messages
from eelgrasshall.state import configuration as configurations

KeysByService = dict[str, messages.KeyRange]


def format_query(query: Any) -> bytes:
    """Returns a query as the bytes that reach the backend servers."""
    return json.dumps(query, separators=(",", ":"), sort_keys=True).encode()


class Checker:
    """Knows what a true answer looks like.

    Args:
      configuration: The kinds and services.
      keys_by_epoch: The keys of each service in each epoch of the shard map.
    """

    def __init__(
        self,
        *,
        configuration: configurations.Configuration,
        keys_by_epoch: dict[int, KeysByService],
    ):
        self._services = {
            kind.name: set(kind.services) for kind in configuration.kinds
        }
        self.keys_by_epoch = keys_by_epoch

    def check(
        self, answer: dict[str, Any], kind: str, request_id: str, query: Any
    ) -> list[str]:
        """Returns what is untrue in an answer; empty if nothing is.

        Args:
          answer: The JSON body of a response with outcome `answer`.
          kind: The kind asked for.
          request_id: The id sent.
          query: The query sent.
        """
        wrong = []
        if answer["request_id"] != request_id:
            wrong.append(f"right caller: it names {answer['request_id']!r}")
        snapshot = messages.parse_snapshot(answer["snapshot"] or "")
        if snapshot is None or snapshot.epoch not in self.keys_by_epoch:
            return [*wrong, f"one snapshot: {answer['snapshot']!r}"]
        wrong += self._check_coverage(answer, kind)
        body = format_query(query)
        keys = self.keys_by_epoch[snapshot.epoch]
        for part in answer["data"]:
            service = part["service"]
            due = records.compute_records(keys[service], snapshot, body)
            if part["records"] != due:
                wrong.append(f"records of {service}: {part['records'][:2]}")
        return wrong

    def _check_coverage(self, answer: dict[str, Any], kind: str) -> list[str]:
        """Finds a claim of coverage that the parts do not bear out."""
        wrong = []
        coverage = answer["coverage"]
        covered = coverage["covered"]
        missing = [each["service"] for each in coverage["missing"]]
        given = [part["service"] for part in answer["data"]]
        if sorted(covered) != sorted(given):
            wrong.append(f"coverage: {covered} claimed, {given} given")
        if sorted(covered + missing) != sorted(self._services[kind]):
            wrong.append(f"coverage: {covered} and {missing} of {kind}")
        if answer["complete"] != (not missing):
            wrong.append(f"coverage: complete={answer['complete']}, {missing}")
        return wrong
