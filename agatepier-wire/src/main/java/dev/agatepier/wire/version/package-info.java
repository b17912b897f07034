/**
 * What lives for one published version: reading the table and fetching it from platform or peers.
 */
package dev.agatepier.wire.version;
