/** Scope of a version that the platform stand-in publishes: tables and workspaces. */
package dev.agatepier.standin.version;
