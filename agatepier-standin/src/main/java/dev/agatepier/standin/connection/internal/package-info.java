/** Parts of the stand-ins that live for one connection. */
package dev.agatepier.standin.connection.internal;
