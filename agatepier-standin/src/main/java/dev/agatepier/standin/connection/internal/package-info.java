/** Implementation of the stand-ins, in the scope of a connection. */
package dev.agatepier.standin.connection.internal;
