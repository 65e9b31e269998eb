"""Tests, laid out like the package."""
