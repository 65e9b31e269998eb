"""Workspaces: their keys, rate and burst."""
