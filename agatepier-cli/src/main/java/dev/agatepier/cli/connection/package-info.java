/** Objects that live as long as a connection to the administration API. */
package dev.agatepier.cli.connection;
