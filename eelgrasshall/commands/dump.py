"""`eelgrasshall dump`: prints the full state of daemons."""

from cleo import helpers

from eelgrasshall import errors
from eelgrasshall.commands import base
from eelgrasshall.commands import client
from eelgrasshall.commands import registry


@registry.register
class DumpCommand(base.Command):
    """Prints the full state of each daemon as JSON."""

    name = "dump"
    description = "Print the full state of daemons as JSON."
    help = """\
Prints the full state of the given daemons as one JSON object, keyed by the URL
of the daemon. With --part, prints only that top-level key of each dump. Exits
with 3 if a daemon cannot be reached.

  eelgrasshall dump
  eelgrasshall dump --part ownership -d http://127.0.0.1:7300
"""
    options = [
        base.JSON_OPTION,
        base.DAEMON_OPTION,
        helpers.option(
            "part", "p", "Print only this part of each dump.", flag=False
        ),
    ]

    def handle(self) -> int:
        """Runs the command."""
        document = {}
        problems = []
        for url in self.list_admin_urls():
            reply = self.run_async(client.get([url], "/dump"))
            if isinstance(reply, errors.Problem):
                problems.append(reply)
            elif reply.status != client.HTTP_OK or reply.document is None:
                problems += client.parse_problems(reply)
            elif self.option("part") is None:
                document[url] = reply.document
            elif self.option("part") in reply.document:
                document[url] = reply.document[self.option("part")]
            else:
                problems.append(_describe_unknown_part(url, reply.document))
        if not document:
            return self.fail(problems)
        self.print_json(document)
        return self.print_problems(problems)


def _describe_unknown_part(url: str, dump: dict) -> errors.Problem:
    """Returns the problem that a dump has no part of the given name."""
    return errors.Problem(
        kind=errors.ProblemKind.MALFORMED_REQUEST,
        where=url,
        what="The state dump has no part of this name.",
        remedy=f"Use one of {', '.join(sorted(dump))}.",
    )
