package dev.agatepier.wire.request;

/**
 * JSON body of the response that issues a ticket.
 *
 * @param ticket encoded ticket
 * @param expiresInMillis time until the ticket expires, in milliseconds
 */
public record TicketBody(String ticket, long expiresInMillis) {}
