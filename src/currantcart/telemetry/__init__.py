"""Logs, metrics, traces and the record of recent decisions."""
