"""Requests that crash endpoints: counted, suspected, tried, refused."""
