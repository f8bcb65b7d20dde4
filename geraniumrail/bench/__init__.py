"""Load tool and seeded experiments."""
