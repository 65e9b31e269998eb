"""The local target of a node: its queue, its requests and its reports."""
