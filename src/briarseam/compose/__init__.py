"""The composition root: what each daemon is made of, one module each.

Two modules and not one, since an agent must not pay for importing the
entry's HTTP server.
"""
