"""Background tasks that outlive an unexpected error."""
