"""Tests of the workspace package."""
