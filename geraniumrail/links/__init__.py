"""gRPC links between daemons: one unary method for records and one stream for followers."""
