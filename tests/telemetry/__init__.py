"""Tests of the telemetry package."""
