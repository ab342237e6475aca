"""Events of all processes, in causal order, from bounded memory."""
