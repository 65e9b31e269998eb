"""Small fakes at the interfaces: time, network and store."""
