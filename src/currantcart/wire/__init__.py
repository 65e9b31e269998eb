"""Streams between nodes: messages, handshake, flow control."""
