/** Data that lives for one request: its identity, attempts, outcome and reason of failure. */
package dev.agatepier.core.request;
