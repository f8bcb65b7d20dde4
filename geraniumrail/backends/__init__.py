"""Clients of engines and plain services; each error says whether the request may have run."""
