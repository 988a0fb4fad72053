"""A short soak with fixed seeds; seeds that ever failed are added here."""

import pytest

from eelgrasshall.platform import soak as soak_module


@pytest.mark.parametrize("seed", [1, 2])
async def test_short_soak_has_no_breaches(seed, tmp_path):
    soak = await soak_module.run_seed(
        seed=seed, seconds=6.0, folder=tmp_path, hosts=3
    )
    assert not soak.breaches
    assert soak.statuses["200"] > 100
    assert soak.faults


@pytest.mark.parametrize("seed", [202])
async def test_soak_with_few_requests_has_no_breaches(seed, tmp_path):
    # Hosts that wait for their traffic to show a crash never know of it.
    soak = await soak_module.run_seed(
        seed=seed,
        seconds=25.0,
        folder=tmp_path,
        hosts=4,
        interval_s=1.0,
        first_fault="send_crash_request",
    )
    assert not soak.breaches
    assert soak.fleet.crashes
    assert soak.statuses["200"] > 20
