"""Which endpoints serve, and which of them are leaving."""
