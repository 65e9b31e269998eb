"""Tests of the graph package."""
