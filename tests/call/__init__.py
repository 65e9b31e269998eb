"""Tests of the call package."""
