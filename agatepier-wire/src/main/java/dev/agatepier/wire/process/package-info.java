/**
 * Objects with the lifetime of a process: listeners, timers, metrics and the router and sidecar
 * services.
 */
package dev.agatepier.wire.process;
