"""The target beside this node: its queue, its requests, its reports."""
