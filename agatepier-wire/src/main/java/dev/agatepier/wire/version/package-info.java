/**
 * Objects with the lifetime of one published version: reading tables and instance lists, and
 * fetching them from the platform or from peers.
 */
package dev.agatepier.wire.version;
