"""OpenTelemetry metrics of a daemon; docs/metrics.md lists the instruments."""
