"""Tests of the life of a request."""
