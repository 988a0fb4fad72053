"""The store falls silent to three of nine hosts, and a server leaves."""

import asyncio
import time

from review.common2 import harness

# Bound of the pages, and length of the disruption; a site file has 9 s.
DRAIN_S = 3.0
CUT_S = 6.0
SERVER = "shard2-0"


async def check(deployment: harness.Deployment) -> int:
    """Plays the case."""
    await deployment.wait_until_settled()
    watchers = await deployment.find_watchers(3)
    calm = [each for each in deployment.host_names if each not in watchers]
    await deployment.call_often(calm, "/single/", "before", 0.2)
    if harness.has_trouble():
        deployment.cut_store(watchers)
    cut_s = time.monotonic()
    await asyncio.sleep(0.05)
    removed_s = deployment.remove_server(SERVER)
    await asyncio.sleep(removed_s + DRAIN_S + 0.05 - time.monotonic())
    await deployment.call_often(calm * 2, "/single/", "after", 1.0)
    await asyncio.sleep(max(cut_s + CUT_S - time.monotonic(), 0.0))
    if harness.has_trouble():
        deployment.mend_store(watchers)
    late = deployment.list_arrivals(SERVER, removed_s + DRAIN_S)
    deployment.record.write(f"requests after the bound: {len(late)}")
    return harness.BROKEN if late else harness.HELD


if __name__ == "__main__":
    harness.run(__file__, check, hosts=9, replicas=3)
