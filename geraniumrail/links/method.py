"""Names and options of the gRPC methods."""

SERVICE = 'geraniumrail.Link'
CALL = f'/{SERVICE}/Call'
FOLLOW = f'/{SERVICE}/Follow'
RELAY = f'/{SERVICE}/Relay'

MAX_MESSAGE_BYTES = 64 * 1024 * 1024  # a snapshot travels in one message

OPTIONS = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    # A replaced channel must not share the silent connection of the old one.
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
    ('grpc.so_reuseport', 0),
    ('grpc.enable_http_proxy', 0),
)
