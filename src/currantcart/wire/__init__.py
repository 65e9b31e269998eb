"""Streams between nodes: message format, handshake and flow control."""
