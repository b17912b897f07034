/** Validation of the two files of a table: workspaces and services. */
package dev.agatepier.core.version.internal;
