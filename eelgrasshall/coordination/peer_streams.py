"""The outgoing streams to all peers, opened when first needed.

A stream belongs to one address of a member.  The old stream of a host that
returns at another address, or that has been removed, is closed.
"""

from eelgrasshall.state import members
from eelgrasshall.transport import peers


class PeerStreams:
    """Keeps one outgoing stream for each peer.

    Args:
      name: Name of this host, sent to the peers.
    """

    def __init__(self, *, name: str):
        self._name = name
        self._streams: dict[str, peers.PeerStream] = {}

    def get(self, member: members.Member) -> peers.PeerStream:
        """Returns the stream to the current address of a member."""
        address = peers.Address(member.peer_host, member.peer_port)
        stream = self._streams.get(member.name)
        if stream is not None and stream.address == address:
            return stream
        if stream is not None:
            stream.close()
        stream = peers.PeerStream(name=self._name, address=address)
        self._streams[member.name] = stream
        return stream

    def close(self, name: str) -> None:
        """Closes the stream to a peer that has been removed."""
        stream = self._streams.pop(name, None)
        if stream is not None:
            stream.close()

    def close_all(self) -> None:
        """Closes every stream."""
        for name in list(self._streams):
            self.close(name)
