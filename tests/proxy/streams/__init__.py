"""Tests of what nodes tell each other."""
