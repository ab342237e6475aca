"""Which endpoints may get a request: evacuation, cold starts, regions."""
