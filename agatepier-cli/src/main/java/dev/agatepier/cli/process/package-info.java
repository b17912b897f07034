/**
 * Objects that live as long as the process: the command line, the settings and the two programs.
 */
package dev.agatepier.cli.process;
