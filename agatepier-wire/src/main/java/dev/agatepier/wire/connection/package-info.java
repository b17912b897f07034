/** What lives for one connection: the frame codec, the handshake and the link tasks. */
package dev.agatepier.wire.connection;
