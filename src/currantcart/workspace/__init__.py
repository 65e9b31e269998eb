"""Workspaces: API keys, rates and bursts."""
