"""What nodes tell each other, over streams and through the store."""
