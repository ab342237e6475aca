"""Membership: which agents of the cell are alive, leaving or gone."""
