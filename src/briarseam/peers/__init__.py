"""How this system's instances find each other through the store."""
