"""Tests of the node."""
