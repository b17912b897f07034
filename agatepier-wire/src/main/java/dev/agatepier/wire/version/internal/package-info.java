/** Parts of the platform client and the version service that other modules need not see. */
package dev.agatepier.wire.version.internal;
