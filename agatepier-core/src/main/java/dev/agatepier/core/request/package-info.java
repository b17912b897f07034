/** What lives for one request: its identity, its attempts, its outcome and its refusal reasons. */
package dev.agatepier.core.request;
