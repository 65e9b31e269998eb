"""Tests of the config package."""
