"""Example declaring programs for two complete deployments."""
