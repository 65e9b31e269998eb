"""Tests of the wire package."""
