"""Tests that check the guarantees against recorded histories."""
