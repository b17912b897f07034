/** Parts of settings and command that other modules need not see. */
package dev.agatepier.cli.process.internal;
