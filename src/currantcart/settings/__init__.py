"""Settings of one process: JSON with comments, validated."""
