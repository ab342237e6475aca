"""Membership: which agents of the cell are alive, suspect, leaving or gone."""
