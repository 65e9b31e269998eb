"""Tests of the admission package."""
