"""Logs, metrics, traces and the history of recent decisions."""
