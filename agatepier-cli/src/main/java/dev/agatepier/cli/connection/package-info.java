/** What lives for one connection to the administration API. */
package dev.agatepier.cli.connection;
