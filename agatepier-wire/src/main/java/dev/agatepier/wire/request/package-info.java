/** What lives for one HTTP request: the caller's exchange and the call to the upstream. */
package dev.agatepier.wire.request;
