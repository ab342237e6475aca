"""Adapters to the endpoints: model engines, plain services, stores."""
