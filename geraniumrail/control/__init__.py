"""The control role: replicated state, backend servers, updates to the entries, leader jobs."""
