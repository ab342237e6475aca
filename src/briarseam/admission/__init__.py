"""Admission: who may run now, and who is refused at once."""
