"""Messages and codecs, without sockets."""
