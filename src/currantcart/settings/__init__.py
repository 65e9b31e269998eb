"""Settings of a node: JSON with comments, validated on load."""
