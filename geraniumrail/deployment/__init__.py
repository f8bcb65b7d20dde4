"""One outside configuration: routes, services, organisations and limits under one version."""
