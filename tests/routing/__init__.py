"""Tests of the routing package."""
