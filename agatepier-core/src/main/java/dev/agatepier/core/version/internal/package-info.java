/** Checks of the two files of a table. */
package dev.agatepier.core.version.internal;
