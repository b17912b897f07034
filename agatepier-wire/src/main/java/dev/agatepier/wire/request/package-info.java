/** Objects with the lifetime of one HTTP request: the caller's exchange and the upstream's. */
package dev.agatepier.wire.request;
