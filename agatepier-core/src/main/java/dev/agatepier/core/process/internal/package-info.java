/**
 * Components of the decisions of routers, sidecars, slot allocators, cost aggregators and versions;
 * not for use by other modules.
 */
package dev.agatepier.core.process.internal;
