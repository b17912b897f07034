package dev.agatepier.wire.request;

/**
 * Body of the answer that hands out a ticket.
 *
 * @param ticket text of the ticket
 * @param expiresInMillis how long it is good, in milliseconds
 */
public record TicketBody(String ticket, long expiresInMillis) {}
