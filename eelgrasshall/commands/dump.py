"""`eelgrasshall dump`: the whole state of daemons."""

from cleo import helpers

from eelgrasshall import errors
from eelgrasshall.commands import base
from eelgrasshall.commands import client
from eelgrasshall.commands import registry


@registry.register
class DumpCommand(base.Command):
    """Dumps the state of each daemon named as JSON."""

    name = "dump"
    description = "Dump the whole state of daemons as JSON."
    help = """\
Dumps the state of each daemon named as one JSON object by URL. With --part
only that part of each dump. Exits with 3 if a daemon cannot be reached.

  eelgrasshall dump
  eelgrasshall dump --part ownership -d http://127.0.0.1:7300
"""
    options = [
        base.JSON_OPTION,
        base.DAEMON_OPTION,
        helpers.option("part", "p", "Only this part of each dump.", flag=False),
    ]

    def handle(self) -> int:
        """Runs the command."""
        document = {}
        problems = []
        for url in self.list_daemons():
            reply = self.run_async(client.read([url], "/dump"))
            if isinstance(reply, errors.Problem):
                problems.append(reply)
            elif reply.status != client.OK or reply.document is None:
                problems += client.read_problems(reply)
            elif self.option("part") is None:
                document[url] = reply.document
            elif self.option("part") in reply.document:
                document[url] = reply.document[self.option("part")]
            else:
                problems.append(_make_no_part(url, reply.document))
        if not document:
            return self.fail(problems)
        self.print_json(document)
        return self.print_problems(problems)


def _make_no_part(url: str, dump: dict) -> errors.Problem:
    """Returns the problem that a dump has no such part."""
    return errors.Problem(
        kind=errors.ProblemKind.MALFORMED_REQUEST,
        where=url,
        what="The dump has no such part.",
        remedy=f"Name one of {', '.join(sorted(dump))}.",
    )
