package dev.agatepier.wire.process;

/**
 * Whether a process takes work.
 *
 * @param ready whether it does
 * @param reason why not; empty if it does
 */
public record Readiness(boolean ready, String reason) {}
