"""Tests of the fleet package."""
