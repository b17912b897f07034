/** What the platform stand-in publishes: table versions and instance lists. */
package dev.agatepier.standin.version;
