"""Tests of the communication between nodes."""
