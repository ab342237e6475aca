"""Analysis of request delays from the logs of all instances."""
