/** Implementation of the commands and of the settings reader; not for other modules. */
package dev.agatepier.cli.process.internal;
