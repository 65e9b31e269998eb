"""The fleet's configuration: document, edits, distribution."""
