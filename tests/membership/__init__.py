"""Tests of the membership package."""
