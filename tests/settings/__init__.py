"""Tests of the settings package."""
