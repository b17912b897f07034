/** What lives for one proxied connection and the faults put on it. */
package dev.agatepier.standin.connection;
