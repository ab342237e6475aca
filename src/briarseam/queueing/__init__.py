"""One queue for all requests of an instance that wait for capacity."""
