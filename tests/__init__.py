"""Tests, in the tree of the package."""
