"""Tests of the operation package."""
