"""Commands of the command line."""
