/** Scope of a proxied connection, and the faults injected into it. */
package dev.agatepier.standin.connection;
