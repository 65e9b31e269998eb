"""Communication between nodes: peer streams, and entries in the store."""
