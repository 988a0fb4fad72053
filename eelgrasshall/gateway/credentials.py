"""API keys of callers: their digests, and the workspaces that they identify.

A request states its key as `Authorization: Bearer KEY` (RFC 6750).  Keys are
kept and compared as digests only, so that neither the model nor a state dump
contains one, and the duration of a look-up tells nothing about a key.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import enum
import hashlib
import re
from typing import NamedTuple

from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model

HEADER = b"authorization"
_SCHEME = b"bearer"
# What a key consists of: visible ASCII characters.
_KEY_PATTERN = re.compile(rb"[!-~]+")


class Fault(enum.Enum):
    """Why a request states no key that identifies a workspace."""

    MISSING = "no API key"
    MALFORMED = "malformed API key"
    REPEATED = "more than one Authorization header"
    UNKNOWN = "unknown API key"
    # Another host relayed the request under a configuration that has this
    # workspace, and the one in force here does not.
    NOT_CONFIGURED = "unknown workspace of a relayed request"
    # A later version of the configuration may have withdrawn the key.
    STALE = "keys may be out of date: the store is out of reach"


# Values of WWW-Authenticate (RFC 6750, section 3).
CHALLENGES = {
    Fault.MISSING: b"Bearer",
    Fault.MALFORMED: (
        b'Bearer error="invalid_request", '
        b'error_description="expected Authorization: Bearer KEY"'
    ),
    Fault.REPEATED: (
        b'Bearer error="invalid_request", '
        b'error_description="more than one Authorization header"'
    ),
    Fault.UNKNOWN: (
        b'Bearer error="invalid_token", error_description="unknown API key"'
    ),
}


class Credential(NamedTuple):
    """How a request identifies its workspace.

    Attributes:
      digest: The digest of the key; None if there is no well-formed key.
      fault: Why there is none; None if there is one.
      name: The name of the workspace, as the host that relayed the request
        states it; None if it states none.
    """

    digest: bytes | None
    fault: Fault | None
    name: str | None = None


class Caller(NamedTuple):
    """The identified sender of a request.

    Attributes:
      workspace: Its workspace; None if it has none.
      fault: Why the request must not run; None if it may.
      credential: What identified it; None if no workspaces are configured.
    """

    workspace: model.Workspace | None = None
    fault: Fault | None = None
    credential: Credential | None = None


def is_key(key: bytes) -> bool:
    """Returns whether a key can be sent in a header."""
    return _KEY_PATTERN.fullmatch(key) is not None


def compute_digest(key: bytes) -> bytes:
    """Returns the digest of a key."""
    return hashlib.sha256(key).digest()


def read_credential(headers: Sequence[tuple[bytes, bytes]]) -> Credential:
    """Reads the key from the headers of a request.

    The scheme may be in any case.  Several headers are a fault even if they
    are equal, since a proxy and a caller may have set one each.

    Args:
      headers: All headers, with names as received.
    """
    values = [value for name, value in headers if name.lower() == HEADER]
    if not values:
        return Credential(None, Fault.MISSING)
    if len(values) > 1:
        return Credential(None, Fault.REPEATED)
    scheme, _, key = values[0].strip(b" \t").partition(b" ")
    key = key.strip(b" ")
    if scheme.lower() != _SCHEME or not is_key(key):
        return Credential(None, Fault.MALFORMED)
    return Credential(compute_digest(key), None)


def read_relayed_credential(
    headers: Sequence[tuple[bytes, bytes]],
) -> Credential:
    """Reads how a request that another host relayed identifies its workspace.

    Hosts of the previous build pass on all headers of a caller and add their
    own mark.  A workspace mark next to that one is the caller's.

    Args:
      headers: All headers, with names as received.
    """
    names = [name.lower() for name, _ in headers]
    if messages.RELAYED not in names:
        for name, value in headers:
            if name.lower() == messages.RELAYED_WORKSPACE:
                return Credential(None, None, value.decode("latin-1"))
    return read_credential(headers)


class KeyTable:
    """Finds the workspace of a key.

    Args:
      workspaces: The workspaces by name.  No two have the same key.
    """

    def __init__(self, *, workspaces: Mapping[str, model.Workspace]):
        self.workspaces = workspaces
        self._by_digest = {
            digest: workspace
            for workspace in workspaces.values()
            for digest in workspace.key_digests
        }

    def find(self, digest: bytes | None) -> model.Workspace | None:
        """Returns the workspace of the key with a digest, or None."""
        return None if digest is None else self._by_digest.get(digest)

    def check(self, credential: Credential, *, keyless: bool) -> Caller:
        """Returns the sender of a request, and whether the request may run.

        Args:
          credential: How the request identifies its workspace.
          keyless: Whether the route of the request needs no key.
        """
        if credential.name is not None:
            workspace = self.workspaces.get(credential.name)
            fault = None if workspace else Fault.NOT_CONFIGURED
            return Caller(workspace, fault, credential)
        workspace = self.find(credential.digest)
        if workspace is not None or keyless:
            return Caller(workspace, None, credential)
        return Caller(None, credential.fault or Fault.UNKNOWN, credential)

    def identify(
        self, headers: Sequence[tuple[bytes, bytes]]
    ) -> model.Workspace | None:
        """Returns the workspace whose key the headers state, or None.

        Args:
          headers: All headers of a request, with names as received.
        """
        return self.find(read_credential(headers).digest)
