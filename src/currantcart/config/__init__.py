"""The fleet's configuration: document, edits and local state."""
