/** Parts of the decisions that other modules need not see. */
package dev.agatepier.core.process.internal;
