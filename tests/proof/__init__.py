"""The promises, proved by checking recorded histories."""
