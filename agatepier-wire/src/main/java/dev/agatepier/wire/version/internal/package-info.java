/** Implementation details of the platform client and the table reader. */
package dev.agatepier.wire.version.internal;
