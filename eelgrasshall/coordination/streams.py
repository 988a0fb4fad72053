"""The outgoing streams to all peers, opened when first needed.

A stream belongs to the address of a member.  A host that comes back at
another address, or that is gone, has its old stream closed.
"""

from eelgrasshall.state import members
from eelgrasshall.transport import peers


class PeerStreams:
    """Keeps one stream for each peer.

    Args:
      name: Name of this host, told to the peers.
    """

    def __init__(self, *, name: str):
        self._name = name
        self._streams: dict[str, peers.PeerStream] = {}

    def get(self, member: members.Member) -> peers.PeerStream:
        """Returns the stream to a member."""
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
        """Closes the stream to a peer that is gone."""
        stream = self._streams.pop(name, None)
        if stream is not None:
            stream.close()

    def close_all(self) -> None:
        """Closes every stream."""
        for name in list(self._streams):
            self.close(name)
