"""Connections of callers: reads requests, writes answers in order."""
