/** What lives for one connection: the peers' identities and the messages that cross a link. */
package dev.agatepier.core.connection;
