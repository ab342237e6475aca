"""Clients of endpoints: model engines, plain services and stores."""
