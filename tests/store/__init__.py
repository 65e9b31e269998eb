"""Tests of the store package."""
