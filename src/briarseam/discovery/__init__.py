"""Discovery of endpoints: which serve, and which are leaving."""
