"""Datagrams that hosts exchange next to their heartbeats.

Each channel passes on one kind of observation.  A malformed datagram is logged
and ignored.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

from eelgrasshall.gateway import crash_gossip
from eelgrasshall.gateway import events
from eelgrasshall.gateway import model
from eelgrasshall.gateway import peers
from eelgrasshall.gateway import quota_gossip
from eelgrasshall.gateway import rate_gossip
from eelgrasshall.gateway import request_handler
from eelgrasshall.gateway import rollout_gossip


def make_channels(
    *,
    handler: request_handler.RequestHandler,
    loop: asyncio.AbstractEventLoop,
    log: events.EventLog,
    count: Callable[[str], None],
    list_active_hosts: Callable[[], Sequence[model.Host]] = lambda: (),
) -> list[peers.Channel]:
    """Returns the channels of a host.

    Args:
      handler: Makes the observations and uses those of other hosts.
      loop: The event loop.
      log: The log for malformed datagrams.
      count: Increments a named counter.
      list_active_hosts: Returns the hosts that callers use.
    """

    def build_crash_datagram() -> bytes | None:
        now = loop.time()
        entries = handler.quarantine.list_gossip(now, crash_gossip.MAX_ENTRIES)
        return crash_gossip.encode(entries, now) if entries else None

    def build_rate_datagram() -> bytes | None:
        entries = handler.registry.list_rate_gossip(rate_gossip.MAX_ENTRIES)
        return rate_gossip.encode(entries, loop.time()) if entries else None

    def make_receiver(
        decode: Callable[[bytes, float], list], add: Callable[[list], None]
    ) -> Callable[[bytes], None]:
        def receive(datagram: bytes) -> None:
            try:
                entries = decode(datagram, loop.time())
            except (
                ValueError,
                TypeError,
                OverflowError,
                RecursionError,
            ) as error:
                count("malformed_datagrams")
                log.record("malformed_datagram", reason=str(error))
                return
            add(entries)

        return receive

    channels = [
        peers.Channel(
            crash_gossip.PREFIX,
            build_crash_datagram,
            make_receiver(crash_gossip.decode, handler.add_crash_gossip),
        ),
        peers.Channel(
            rate_gossip.PREFIX,
            build_rate_datagram,
            make_receiver(rate_gossip.decode, handler.registry.merge_rates),
        ),
    ]
    if handler.rollouts is not None:
        channels.append(
            peers.Channel(
                rollout_gossip.PREFIX,
                handler.rollouts.build_datagram,
                make_receiver(rollout_gossip.decode, handler.rollouts.merge),
                # They count nearly all answers.
                list_receivers=list_active_hosts,
            )
        )
    gate = handler.quota_gate
    if gate is not None:
        channels.append(
            peers.Channel(
                quota_gossip.PREFIX,
                lambda: None,
                make_receiver(quota_gossip.decode, gate.merge),
                gate.build_datagrams,
            )
        )
    return channels
