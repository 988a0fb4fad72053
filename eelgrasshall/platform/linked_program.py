"""The entry host program, with links of its own to the backend servers.

`python -m eelgrasshall.platform.linked_program FIRST COUNT SHIFT` runs the
program behind an address translation: connections to COUNT ports from FIRST on
go to ports that are SHIFT higher.  Hosts on one machine can so be cut off from
the servers one by one, without privileges, in ways that the program sees when
it connects.  Nothing else differs from the program.
"""

import sys
from typing import Any

import uvloop

from eelgrasshall.platform import program


class _LinkedLoop(uvloop.Loop):
    """An event loop that translates the ports of the backend servers."""

    first_port = 0
    port_count = 0
    shift = 0

    async def create_connection(
        self, protocol_factory, host=None, port=None, **options: Any
    ):
        """Opens a connection, to the translated port."""
        if port is not None and 0 <= port - self.first_port < self.port_count:
            port += self.shift
        return await super().create_connection(
            protocol_factory, host, port, **options
        )


def main() -> None:
    """Runs the program with the links that the arguments state."""
    _LinkedLoop.first_port, _LinkedLoop.port_count, _LinkedLoop.shift = map(
        int, sys.argv[1:4]
    )
    # The program's runner looks its loop up here.
    uvloop.Loop = _LinkedLoop
    program.main()


if __name__ == "__main__":
    main()
