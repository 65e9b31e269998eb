"""Fakes of the interfaces to time, network and store."""
