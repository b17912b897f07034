/** Parts of the sidecar's and the holder's decisions that other modules need not see. */
package dev.agatepier.core.process.internal;
