/**
 * The protocol between hosts and from operators to hosts: its messages, and authenticated clients and
 * servers.
 */
export * from './gen/pimentotally/v1/operator_pb.js'
export * from './gen/pimentotally/v1/peer_pb.js'
export * from './transport.js'
