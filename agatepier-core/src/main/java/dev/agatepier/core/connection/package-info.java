/**
 * Data that lives for one connection: the identities of the peers and the messages sent over a
 * link.
 */
package dev.agatepier.core.connection;
