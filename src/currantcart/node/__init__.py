"""The node: composition of the parts and their I/O."""
