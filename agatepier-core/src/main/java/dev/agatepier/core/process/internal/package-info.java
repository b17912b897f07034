/** Parts of the decisions of routers, sidecars and holders that other modules need not see. */
package dev.agatepier.core.process.internal;
