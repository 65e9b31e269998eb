"""Connections of callers: requests read, answers written in order."""
