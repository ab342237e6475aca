"""Where the time of requests goes, from the logs of all instances."""
