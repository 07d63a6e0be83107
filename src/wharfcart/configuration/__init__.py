"""Templates, deployments, tenants: schema, resolution, revisions, spreading."""
