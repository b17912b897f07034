/** Parts of the processes' decisions that other modules need not see. */
package dev.agatepier.core.process.internal;
