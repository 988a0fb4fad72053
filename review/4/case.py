"""The hosts that watch the store are lost for two seconds."""

import functools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import lost_watchers
import standins

if __name__ == "__main__":
    standins.run_case(
        functools.partial(
            lost_watchers.run, killed_count=4, restart_s=2.0, serves_on_s=8.0
        ),
        __file__,
    )
