"""Tests of callers' connections."""
