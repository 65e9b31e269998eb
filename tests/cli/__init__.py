"""Tests of the cli package."""
