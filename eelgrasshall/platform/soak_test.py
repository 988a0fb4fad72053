"""A short seeded soak, and the seeds that ever failed."""

import pytest

from eelgrasshall.platform import soak as soaks


@pytest.mark.parametrize("seed", [1, 2])
async def test_a_short_seed_breaks_no_promise(seed, tmp_path):
    soak = await soaks.play_seed(
        seed=seed, seconds=6.0, folder=tmp_path, port=23000, hosts=3
    )
    assert not soak.breaches
    assert soak.statuses["200"] > 100
    assert soak.faults
