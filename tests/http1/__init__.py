"""Tests of the http1 package."""
