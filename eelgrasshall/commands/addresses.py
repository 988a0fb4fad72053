"""`eelgrasshall addresses`: the addresses that callers are to use."""

from cleo import helpers

from eelgrasshall import errors
from eelgrasshall.commands import base
from eelgrasshall.commands import client
from eelgrasshall.commands import exits
from eelgrasshall.commands import registry


@registry.register
class AddressesCommand(base.Command):
    """Asks which addresses callers are to use."""

    name = "addresses"
    description = "Ask which entry hosts callers are to use."
    help = """\
Asks as a caller does which entry hosts to use, those in its own zone first,
and for how long the answer may be kept.

  eelgrasshall addresses --zone tandil-a
"""
    options = [
        base.JSON_OPTION,
        base.CALLER_OPTION,
        helpers.option("zone", "z", "The caller's zone.", flag=False),
    ]

    def handle(self) -> int:
        """Runs the command."""
        zone = self.option("zone")
        params = {"zone": zone} if zone else None
        reply = self.run_async(
            client.read(self.list_callers(), "/v1/addresses", params)
        )
        if isinstance(reply, errors.Problem):
            return self.fail([reply])
        if reply.status != client.OK or reply.document is None:
            return self.fail(client.read_problems(reply))
        addresses = reply.document["addresses"]
        lines = [
            f"{each['host']}:{each['port']}  {each['name']}  {each['zone']}"
            for each in addresses
        ]
        lines.append(f"To be kept for {reply.document['ttl_s']} s.")
        self.print_result(reply.document, lines)
        return int(exits.ExitCode.DONE)
