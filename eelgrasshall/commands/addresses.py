"""`eelgrasshall addresses`: prints the addresses of the entry hosts."""

from cleo import helpers

from eelgrasshall import errors
from eelgrasshall.commands import base
from eelgrasshall.commands import client
from eelgrasshall.commands import exit_codes
from eelgrasshall.commands import registry


@registry.register
class AddressesCommand(base.Command):
    """Prints the entry hosts that a caller should use."""

    name = "addresses"
    description = "Print the entry hosts that a caller should use."
    help = """\
Requests the list of entry hosts from the caller listener and prints it, hosts
in the caller's own zone first, with the time for which the list may be cached.

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
            client.get(self.list_caller_urls(), "/v1/addresses", params)
        )
        if isinstance(reply, errors.Problem):
            return self.fail([reply])
        if reply.status != client.HTTP_OK or reply.document is None:
            return self.fail(client.parse_problems(reply))
        addresses = reply.document["addresses"]
        lines = [
            f"{each['host']}:{each['port']}  {each['name']}  {each['zone']}"
            for each in addresses
        ]
        lines.append(f"Valid for {reply.document['ttl_s']} s.")
        self.print_result(reply.document, lines)
        return int(exit_codes.ExitCode.DONE)
