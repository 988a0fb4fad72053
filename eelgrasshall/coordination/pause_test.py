"""Tests that the periodic and the explicit check detect pauses."""

from eelgrasshall import clock as clock_module
from eelgrasshall.coordination import pause


async def test_clock_gap_is_reported_once_and_steady_time_is_not():
    clock = clock_module.ManualClock()
    detector = pause.PauseDetector(clock=clock, limit_s=1.0)
    gaps = []
    detector.subscribe(gaps.append)
    detector.start()
    await clock.advance(30)
    assert gaps == [] and not detector.check()
    clock.jump(3.0)
    assert detector.check()
    assert len(gaps) == 1 and gaps[0] >= 3.0
    await clock.advance(1)
    assert len(gaps) == 1
    clock.jump(2.0)
    await clock.advance(0.1)
    assert len(gaps) == 2 and detector.pauses == 2
    detector.stop()
