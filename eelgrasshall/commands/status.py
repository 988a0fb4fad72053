"""`eelgrasshall status`: prints a summary of daemons and their members."""

from eelgrasshall import errors
from eelgrasshall.commands import base
from eelgrasshall.commands import client
from eelgrasshall.commands import registry
from eelgrasshall.protocol import admin


@registry.register
class StatusCommand(base.Command):
    """Prints a summary of each daemon and of the members that it knows."""

    name = "status"
    description = "Print the state of daemons and the members that they know."
    help = """\
Prints the state of each given daemon, its configuration version, whether it can
reach the platform's store, how many services it owns, and the members that it
knows. Exits with 3 if a daemon cannot be reached.

  eelgrasshall status
  eelgrasshall status -d http://127.0.0.1:7300 -d http://127.0.0.1:7301 --json
"""
    options = [base.JSON_OPTION, base.DAEMON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        document = {}
        lines = []
        problems = []
        for url in self.list_admin_urls():
            reply = self.run_async(client.get([url], "/status"))
            if isinstance(reply, errors.Problem):
                problems.append(reply)
                continue
            status = admin.parse_status(reply.body)
            if status is None:
                problems += client.parse_problems(reply)
                continue
            document[url] = reply.document
            lines += _format(status)
        if problems and not document:
            return self.fail(problems)
        self.print_result(document, lines)
        return self.print_problems(problems)


def _format(status: admin.Status) -> list[str]:
    """Formats the status of one daemon as lines of text."""
    store = "reachable" if status.store_reachable else "not reachable"
    lines = [
        f"{status.name} in {status.zone}: {status.state}",
        f"  configuration version {status.configuration_version}",
        f"  platform store {store}",
        f"  owns {status.owned_services} services",
        f"  invariant breaches: {status.breaches}",
        f"  knows {len(status.members)} members:",
    ]
    width = max((len(m.name) for m in status.members), default=0)
    for member in status.members:
        version = member.configuration_version
        text = "unknown" if version is None else version
        lines.append(
            f"    {member.name:{width}}  {member.zone}  "
            f"{member.state}  version {text}"
        )
    return lines
