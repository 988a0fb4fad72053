"""Request rates that backend servers in need state as the most they take.

This module does no I/O and reads no clock.
"""

from collections.abc import Iterable
import math


def parse_rate(values: Iterable[bytes]) -> float | None:
    """Returns the requests per second that a response states, or None.

    A header that is repeated, or that holds a list, states the least of its
    numbers.

    Args:
      values: The values of all headers that state a rate.

    Returns:
      The rate; None if no value is a number that is finite and not negative.
    """
    rates = []
    for text in b",".join(values).split(b","):
        try:
            rate = float(text)
        except ValueError:
            continue
        if math.isfinite(rate) and rate >= 0:
            rates.append(rate)
    return min(rates, default=None)
