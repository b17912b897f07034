/**
 * Code with the lifetime of a connection: the frame codec, the handshake, the link tasks, and the
 * HTTP connections of callers and upstreams.
 */
package dev.agatepier.wire.connection;
