/** Components of router, sidecar and cost aggregator decisions; not for use by other modules. */
package dev.agatepier.core.process.internal;
