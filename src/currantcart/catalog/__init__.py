"""Routes, services, workspaces and limits of one configuration version."""
