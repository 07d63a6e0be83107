"""Configuration of templates, deployments, tenants and routes: schema, validation, propagation."""
