"""Experiments that measure real nodes or the real controllers."""
