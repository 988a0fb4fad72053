"""The hosts that watch the store are killed and start again at once."""

import functools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import lost_watchers
import standins

if __name__ == "__main__":
    standins.run_case(
        functools.partial(
            lost_watchers.run, killed_count=3, restart_s=0.4, serves_on_s=14.0
        ),
        __file__,
    )
