"""Tests of requests on their way."""
