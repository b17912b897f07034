/** Commands about table versions: check, diff and show. */
package dev.agatepier.cli.version;
